/**
 * What gateways ask each other when the platform's store does not answer one of
 * them: the newest configuration and the list of backend servers. One frame
 * each way on a short-lived connection.
 */
import {connect, createServer, type Socket} from 'node:net';
import {
	type Backend,
	backendIdSchema,
	createFailure,
	dataCentreIdSchema,
	decodeFrameBody,
	encodeValueFrame,
	type Failure,
	FrameCutter,
	type LifeCycle,
	type Logger,
	modelNameSchema,
	parseAddress,
	type RoutingConfiguration,
	serviceNameSchema,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';

const questionSchema = z.object({
	/** Configurations that are not newer are left out. */
	version: z.int(),
	/** Age of the asker's list, in milliseconds; an older one is left out. */
	listAgeMs: z.number().nullable(),
});

const layersSchema = z.object({from: z.int(), to: z.int()});

const backendSchema = z.object({
	id: backendIdSchema,
	service: serviceNameSchema,
	address: z.string(),
	dataCentre: dataCentreIdSchema,
	isDraining: z.boolean(),
	kind: z.string().optional(),
	layers: layersSchema.optional(),
	models: z.array(modelNameSchema),
	slots: z.number(),
	bornAt: z.number(),
});

/** Peers run the same program, so only the outer shape of a configuration is checked. */
const configurationSchema = z.custom<RoutingConfiguration>((value) => {
	const candidate = value as Partial<RoutingConfiguration> | undefined;
	return (
		Number.isInteger(candidate?.version) &&
		Array.isArray(candidate?.routes) &&
		candidate?.services instanceof Map &&
		typeof candidate.bounds === 'object'
	);
});

const answerSchema = z.object({
	/** Time since the list was read from the store, in milliseconds; nothing if never. */
	listAgeMs: z.number().nullable(),
	isStopping: z.boolean(),
	configuration: configurationSchema.optional(),
	list: z
		.object({backends: z.array(backendSchema), ageMs: z.number()})
		.optional(),
});

export type PeerQuestion = z.infer<typeof questionSchema>;
export type PeerAnswer = {
	/** Time since the list was read from the store, in milliseconds; nothing if never. */
	readonly listAgeMs: number | null;
	readonly isStopping: boolean;
	readonly configuration?: RoutingConfiguration;
	readonly list?: {
		readonly backends: readonly Backend[];
		/** Time since the list was read from the store, in milliseconds. */
		readonly ageMs: number;
	};
};

/** Time for one exchange; peers are within a region. */
const exchangeMs = 400;

/** Answers other gateways. */
export async function listenForPeers(
	address: string,
	answer: (question: PeerQuestion) => PeerAnswer,
	lifeCycle: LifeCycle,
	logger: Logger,
): Promise<void> {
	const server = createServer((socket) => {
		void (async () => {
			const question = await readValue(socket, questionSchema);
			if (question.isErr()) {
				logger.warn('peer.bad', {detail: question.error.detail});
				socket.destroy();
				return;
			}

			socket.end(encodeValueFrame(answer(question.value)));
		})();
	});
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	lifeCycle.register(() => {
		server.close();
	});
}

/** Asks another gateway. */
export async function sendQuestion(
	address: string,
	question: PeerQuestion,
): Promise<Result<PeerAnswer, Failure>> {
	const {host, port} = parseAddress(address);
	const socket = connect({host, port, noDelay: true});
	socket.on('connect', () => {
		socket.write(encodeValueFrame(question));
	});
	const answer = await readValue(socket, answerSchema);
	socket.destroy();
	return answer;
}

/** Reads one frame and checks its value. */
async function readValue<T>(
	socket: Socket,
	schema: z.ZodType<T>,
): Promise<Result<T, Failure>> {
	const cutter = new FrameCutter();
	return new Promise((resolve) => {
		const finish = (result: Result<T, Failure>) => {
			clearTimeout(timer);
			resolve(result);
		};

		const fail = (detail: string) => {
			finish(err(createFailure('badFrame', detail)));
		};

		const timer = setTimeout(() => {
			socket.destroy();
			fail(`No frame in ${exchangeMs} ms.`);
		}, exchangeMs);
		socket.on('error', (error) => {
			fail(error.message);
		});
		socket.on('close', () => {
			fail('The connection closed before a whole frame.');
		});
		socket.on('data', (chunk) => {
			cutter.append(chunk);
			const body = cutter.readNext();
			if (body.isErr()) {
				socket.destroy();
				finish(err(body.error));
			} else if (body.value) {
				finish(
					decodeFrameBody(body.value).andThen((value) =>
						checkValue(value, schema),
					),
				);
			}
		});
	});
}

function checkValue<T>(
	value: unknown,
	schema: z.ZodType<T>,
): Result<T, Failure> {
	const parsed = schema.safeParse(value);
	return parsed.success
		? ok(parsed.data)
		: err(createFailure('badFrame', z.prettifyError(parsed.error)));
}
