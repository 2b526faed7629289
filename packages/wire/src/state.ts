/** The state service's interface. */
import { z } from 'zod';
import { WireError } from './body.js';
import { issueText } from './jobs.js';

export const COMMIT_PATH = '/commit';
export const LEASES_PATH = '/grants';

/** A stored key with its value and version. */
export interface StateItem {
  key: string;
  value: unknown;
  version: number;
}
/** A condition of a transaction: the key has this version, 0 if it does not exist. */
export interface Precondition {
  key: string;
  version: number;
}
/** A change of a transaction. */
export type Write = { put: string; value: unknown; lease?: number } | { remove: string };
/** A change of a key that was watched. */
export interface StateEvent {
  key: string;
  /** Undefined for a removal. */
  value?: unknown;
  version: number;
  removed: boolean;
}

const count = z.number().int().nonnegative();
const item = z.object({ key: z.string(), v: z.unknown(), stamp: count });
const page = z.object({
  items: z.array(item),
  has_next: z.boolean().nullish(),
  epoch: count,
});
const committed = z.object({ epoch: count });
const refused = z.object({ failed: z.array(z.string()) });
const grant = z.object({ tenancy: count });
const change = z.object({
  write: z.string().optional(),
  delete: z.string().optional(),
  v: z.unknown().optional(),
  stamp: count,
});
const changes = z.object({ epoch: count, news: z.array(change) });

function check<T>(schema: z.ZodType<T>, body: unknown): T {
  const parsed = schema.safeParse(body);
  if (!parsed.success) throw new WireError(issueText(parsed.error));
  return parsed.data;
}

const fromWire = (i: z.infer<typeof item>): StateItem => ({
  key: i.key,
  value: i.v,
  version: i.stamp,
});

export const keyPath = (key: string): string => `/keys/${key}`;
export const pagePath = (prefix: string, after: string, limit: number): string =>
  `/keys?starts=${prefix}&most=${limit}${after ? `&after=${after}` : ''}`;
export const watchPath = (prefix: string, after: number, hold: number): string =>
  `/changes?starts=${prefix}&after=${after}&hold_ms=${hold}`;
export const renewPath = (lease: number): string => `${LEASES_PATH}/${lease}/renew`;
export const leasePath = (lease: number): string => `${LEASES_PATH}/${lease}`;

export const parseItem = (body: unknown): StateItem => fromWire(check(item, body));
/** One page of stored keys. */
export function parsePage(body: unknown): { items: StateItem[]; more: boolean; revision: number } {
  const p = check(page, body);
  return { items: p.items.map(fromWire), more: p.has_next ?? false, revision: p.epoch };
}
export const parseCommitRevision = (body: unknown): number => check(committed, body).epoch;
export const parseFailedPreconditions = (body: unknown): string[] => check(refused, body).failed;
export const parseLeaseId = (body: unknown): number => check(grant, body).tenancy;
/** The changes that a watch was answered with. */
export function parseChanges(body: unknown): { revision: number; events: StateEvent[] } {
  const c = check(changes, body);
  return {
    revision: c.epoch,
    events: c.news.map((n) => ({
      key: n.write ?? n.delete ?? '',
      value: n.v,
      version: n.stamp,
      removed: n.write === undefined,
    })),
  };
}

/** The body of a transaction. */
export function renderTransaction(
  preconditions: Precondition[],
  writes: Write[],
): Record<string, unknown> {
  return {
    guards: preconditions.map((g) => ({ key: g.key, stamp: g.version })),
    writes: writes.map((w) =>
      'remove' in w
        ? { delete: w.remove }
        : { write: w.put, v: w.value, ...(w.lease === undefined ? {} : { tenancy: w.lease }) },
    ),
  };
}
