/**
 * The state service's interface: keys with versions, compare-and-swap transactions, leases and
 * watches. This file maps the service's own names to the project's. Every `parse…` function
 * throws `WireError`, and no other error, for a malformed response.
 */
import { z } from 'zod';
import type { Duration } from './domain.js';
import { listOf, validateBody } from './validation.js';

/** Transactions (POST). */
export const COMMIT_PATH = '/commit';
/** Leases: granted by a POST to this path, renewed and revoked at paths below it. */
export const LEASES_PATH = '/grants';

/** A stored key with its value and version. */
export interface StateItem {
  key: string;
  value: unknown;
  version: number;
}
/** A condition of a transaction: the key has this version; 0 requires that it does not exist. */
export interface Precondition {
  key: string;
  version: number;
}
/** A write of a transaction; a value put with a lease is removed when that lease ends. */
export type Write = { put: string; value: unknown; lease?: number } | { remove: string };
/** A change of a watched key. */
export interface StateEvent {
  key: string;
  /** Undefined for a removal. */
  value?: unknown;
  version: number;
  removed: boolean;
}

const count = z.number().int().nonnegative();
const itemSchema = z.object({ key: z.string(), v: z.unknown(), stamp: count });
const pageSchema = z.object({
  items: listOf(itemSchema),
  has_next: z.boolean().nullish(),
  epoch: count,
});
const committedSchema = z.object({ epoch: count });
const conflictSchema = z.object({ failed: listOf(z.string()) });
const leaseSchema = z.object({ tenancy: count });
const changeSchema = z.object({
  write: z.string().optional(),
  delete: z.string().optional(),
  v: z.unknown().optional(),
  stamp: count,
});
const changesSchema = z.object({ epoch: count, news: listOf(changeSchema) });

const itemFrom = (item: z.infer<typeof itemSchema>): StateItem => ({
  key: item.key,
  value: item.v,
  version: item.stamp,
});

/** The path of a key. */
export const keyPath = (key: string): string => `/keys/${key}`;
/** The path of the page of keys with a prefix that follows the key `after`; '' for the first. */
export const keyPagePath = (prefix: string, after: string, limit: number): string =>
  `/keys?starts=${prefix}&most=${limit}${after ? `&after=${after}` : ''}`;
const CHANGES_PATH = '/changes';
/** Whether a path is that of a watch. */
export const isWatchPath = (path: string): boolean => path.startsWith(CHANGES_PATH);
/** The path of a watch that waits up to `timeout` for changes after a revision. */
export const watchPath = (prefix: string, afterRevision: number, timeout: Duration): string =>
  `${CHANGES_PATH}?starts=${prefix}&after=${afterRevision}&hold_ms=${timeout}`;
/** The path that renews a lease (POST). */
export const renewPath = (lease: number): string => `${LEASES_PATH}/${lease}/renew`;
/** The path of one lease. */
export const leasePath = (lease: number): string => `${LEASES_PATH}/${lease}`;

/** Parses one stored key; throws `WireError`. */
export const parseItem = (body: unknown): StateItem => itemFrom(validateBody(itemSchema, body));
/**
 * Parses a page of stored keys and the store's revision; `more` if another page follows. Throws
 * `WireError`.
 */
export function parseItems(body: unknown): { items: StateItem[]; more: boolean; revision: number } {
  const page = validateBody(pageSchema, body);
  return { items: page.items.map(itemFrom), more: page.has_next ?? false, revision: page.epoch };
}
/** Parses the store's revision after a transaction; throws `WireError`. */
export const parseCommitRevision = (body: unknown): number =>
  validateBody(committedSchema, body).epoch;
/** Parses the keys whose preconditions did not hold; throws `WireError`. */
export const parseFailedPreconditions = (body: unknown): string[] =>
  validateBody(conflictSchema, body).failed;
/** Parses the id of a granted lease; throws `WireError`. */
export const parseLeaseId = (body: unknown): number => validateBody(leaseSchema, body).tenancy;
/** Parses the changes in a watch's response, up to and including `revision`; throws `WireError`. */
export function parseChanges(body: unknown): { revision: number; events: StateEvent[] } {
  const changes = validateBody(changesSchema, body);
  return {
    revision: changes.epoch,
    events: changes.news.map((change) => ({
      key: change.write ?? change.delete ?? '',
      value: change.v,
      version: change.stamp,
      removed: change.write === undefined,
    })),
  };
}

/** The body of a transaction request. */
export function renderTransaction(
  preconditions: Precondition[],
  writes: Write[],
): Record<string, unknown> {
  return {
    guards: preconditions.map(({ key, version }) => ({ key, stamp: version })),
    writes: writes.map(renderWrite),
  };
}

function renderWrite(write: Write): Record<string, unknown> {
  if ('remove' in write) return { delete: write.remove };
  const lease = write.lease === undefined ? {} : { tenancy: write.lease };
  return { write: write.put, v: write.value, ...lease };
}
