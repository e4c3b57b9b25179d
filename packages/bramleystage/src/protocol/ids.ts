/**
 * Branded identifiers. Each id is a plain string or number on the wire; the
 * brand prevents one kind of id from being passed in place of another. The
 * schemas validate ids received from outside; the `to…` functions brand values
 * without a check.
 */
import * as z from 'zod';

const maxIdLength = 200;
const text = z.string().min(1).max(maxIdLength);
const count = z.int().min(0);

/** Identifies a caller's request; created by the entry that accepted it. */
export const requestIdSchema = text.brand<'RequestId'>();
export type RequestId = z.infer<typeof requestIdSchema>;

/** Identifies a host of the system: an entry host or a backend server host. */
export const hostIdSchema = text.brand<'HostId'>();
export type HostId = z.infer<typeof hostIdSchema>;

/** Identifies one run of a process; its replacement at the same address has another incarnation. */
export const incarnationSchema = text.brand<'Incarnation'>();
export type Incarnation = z.infer<typeof incarnationSchema>;

export const dataCentreIdSchema = text.brand<'DataCentreId'>();
export type DataCentreId = z.infer<typeof dataCentreIdSchema>;

export const customerIdSchema = text.brand<'CustomerId'>();
export type CustomerId = z.infer<typeof customerIdSchema>;

export const serviceNameSchema = text.brand<'ServiceName'>();
export type ServiceName = z.infer<typeof serviceNameSchema>;

export const modelNameSchema = text.brand<'ModelName'>();
export type ModelName = z.infer<typeof modelNameSchema>;

/** Identifies one run of a backend server in the platform's list. */
export const backendIdSchema = text.brand<'BackendId'>();
export type BackendId = z.infer<typeof backendIdSchema>;

/** Identifies a part of a prompt that several requests may share. */
export const promptPartIdSchema = text.brand<'PromptPartId'>();
export type PromptPartId = z.infer<typeof promptPartIdSchema>;

/** Length of a name that is made of several ids. */
const maxCompoundLength = 3 * maxIdLength;
const compound = z.string().min(1).max(maxCompoundLength);

/** Names one instance of a backend server: its id and the time of its start. */
export const instanceKeySchema = compound.brand<'InstanceKey'>();
export type InstanceKey = z.infer<typeof instanceKeySchema>;

/** Names what several requests may have in common: a service and a part of the prompt, or the same content. */
export const requestTraitSchema = compound.brand<'RequestTrait'>();
export type RequestTrait = z.infer<typeof requestTraitSchema>;

export const routeNameSchema = text.brand<'RouteName'>();
export type RouteName = z.infer<typeof routeNameSchema>;

/** Number of a session, counted by the process that opened it. */
export const sessionNumberSchema = count.brand<'SessionNumber'>();
export type SessionNumber = z.infer<typeof sessionNumberSchema>;

/** Number of an attempt to run a request, used as a fencing token: a newer attempt replaces older ones. */
export const attemptSchema = count.brand<'Attempt'>();
export type Attempt = z.infer<typeof attemptSchema>;

/** Position of a token in an answer, from 0. */
export const positionSchema = count.brand<'Position'>();
export type Position = z.infer<typeof positionSchema>;

/** Position of a record in a stream of the platform's log, from 0. */
export const logOffsetSchema = count.brand<'LogOffset'>();
export type LogOffset = z.infer<typeof logOffsetSchema>;

/** Identifies an edit of the table; chosen by its author before the append. */
export const editIdSchema = text.brand<'EditId'>();
export type EditId = z.infer<typeof editIdSchema>;

/** Fencing token of an order: the log offset of the record that granted its lease. */
export const fencingTokenSchema = count.brand<'FencingNumber'>();
export type FencingToken = z.infer<typeof fencingTokenSchema>;

export const toRequestId = (value: string) => value as RequestId;
export const toHostId = (value: string) => value as HostId;
export const toIncarnation = (value: string) => value as Incarnation;
export const toDataCentreId = (value: string) => value as DataCentreId;
export const toCustomerId = (value: string) => value as CustomerId;
export const toServiceName = (value: string) => value as ServiceName;
export const toModelName = (value: string) => value as ModelName;
export const toSessionNumber = (value: number) => value as SessionNumber;
export const toAttempt = (value: number) => value as Attempt;
export const toPosition = (value: number) => value as Position;
export const toLogOffset = (value: number) => value as LogOffset;
export const toEditId = (value: string) => value as EditId;
export const toFencingToken = (value: number) => value as FencingToken;
export const toBackendId = (value: string) => value as BackendId;
export const toPromptPartId = (value: string) => value as PromptPartId;
export const toInstanceKey = (value: string) => value as InstanceKey;
export const toRequestTrait = (value: string) => value as RequestTrait;
export const toRouteName = (value: string) => value as RouteName;
