/**
 * What active requests tell the hosts of their prompts, and what comes back:
 * the names of the prompt's blocks go out with each stage, and the first token
 * of an attempt shows that its stages keep the prompt, and how much of it they
 * had already.
 */
import {
	listStageBlocks,
	type Milliseconds,
	type PrefixBlocks,
	type PrefixSavings,
	type RequestId,
	type Stage,
	type Token,
} from 'bramleystage';
import type {ModelRequest} from './model-request.js';
import {estimateRequestShape, listRequestBlocks} from './model-routing.js';
import {computeUncachedWork} from './prefix-routing.js';

/** An attempt of a request, as its stages are opened. */
export type PromptAttempt = {
	readonly attempt: number;
	readonly stages: readonly Stage[];
};

type SentPrompt = PromptAttempt & {
	readonly promptTokens: number;
	/** Names of the prompt's blocks, and the tokens expected of them, by stage. */
	readonly blocks: readonly PrefixBlocks[];
	readonly expectedTokens: readonly number[];
};

/** What a stage is told of a prompt. */
export type StagePrompt = {
	readonly prefix: PrefixBlocks;
	/** Layer-tokens that the stage is expected to run. */
	readonly work: number;
};

export class SentPrompts {
	/** Prompts whose first token has not come yet. */
	readonly #waiting = new Map<RequestId, SentPrompt>();

	constructor(private readonly prefixes: PrefixSavings) {}

	/** Records an attempt when its first stage is opened; describes the prompt to a stage. */
	openStage(
		request: ModelRequest,
		index: number,
		{attempt, stages}: PromptAttempt,
		now: Milliseconds,
	): StagePrompt {
		const known = this.#waiting.get(request.request);
		const sent =
			known?.attempt === attempt
				? known
				: this.#createPrompt(request, {attempt, stages}, now);
		this.#waiting.set(request.request, sent);
		const prefix = sent.blocks[index] ?? [];
		const stage = stages[index];
		return {
			prefix,
			work: stage
				? computeUncachedWork(
						estimateRequestShape(request),
						this.prefixes.estimateCachedTokens(stage, prefix, now),
						stage.toLayer - stage.fromLayer,
					)
				: 0,
		};
	}

	/** Records what the first token of an attempt tells; later tokens are ignored. */
	recordToken(
		{request, attempt, cached, promptTokens = 0}: Token,
		now: Milliseconds,
	): void {
		const sent = this.#waiting.get(request);
		if (sent?.attempt !== attempt) {
			return;
		}

		this.#waiting.delete(request);
		const isTold = cached?.length === sent.stages.length && promptTokens > 0;
		for (const [index, stage] of sent.stages.entries()) {
			if (isTold) {
				// Compared as shares of the prompt: engines count other tokens than
				// the estimate does.
				const share = (cached[index] ?? 0) / promptTokens;
				const expected = sent.expectedTokens[index] ?? 0;
				const found = share * sent.promptTokens;
				this.prefixes.recordFound(stage, {expected, found}, now);
			}

			this.prefixes.recordRun(stage, sent.blocks[index] ?? [], now);
		}
	}

	/** Removes a request that has ended. */
	remove(request: RequestId): void {
		this.#waiting.delete(request);
	}

	#createPrompt(
		request: ModelRequest,
		{attempt, stages}: PromptAttempt,
		now: Milliseconds,
	): SentPrompt {
		const prefix = listRequestBlocks(request);
		const blocks = stages.map((stage) => listStageBlocks(prefix, stage));
		return {
			attempt,
			stages,
			promptTokens: estimateRequestShape(request).promptTokens,
			blocks,
			expectedTokens: stages.map((stage, index) =>
				this.prefixes.estimateHeldTokens(stage, blocks[index] ?? [], now),
			),
		};
	}
}
