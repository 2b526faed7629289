/** Decisions on whether a leader may act, with the evidence that they are based on. */
import type { Duration, Instant } from '@tealdock/wire';

/** Source of the knowledge behind a decision: the leader's watch on the keys of live jobs. */
export type EvidenceSource = 'job watch';

/** The knowledge that a decision is based on; `age` and the maximum age `limit` are in ms. */
export interface Evidence {
  source: EvidenceSource;
  /** Infinity until the stored state has been read. */
  age: Duration;
  limit: Duration;
}

/** Why an action is refused; part of the names of the counters `starts.refused.<reason>`. */
export type RefusalReason =
  | 'no_lease'
  | 'term_over'
  | 'jobs_not_read'
  | 'knowledge_stale'
  | 'machine_not_registered'
  | 'machine_unaccounted'
  | 'machine_returning'
  | 'sizes_unknown';

/** The action is allowed under this fencing token until `validUntil`. */
export interface Granted {
  granted: true;
  fencingToken: number;
  validUntil: Instant;
  evidence: Evidence;
}

/** The action is not allowed now. */
export interface Refused {
  granted: false;
  reason: RefusalReason;
  /** Null if the action was refused before the age of the knowledge was checked. */
  evidence: Evidence | null;
}

/** Whether an action is allowed. */
export type Decision = Granted | Refused;

/** Creates a refusal. */
export const refused = (reason: RefusalReason, evidence: Evidence | null = null): Refused => ({
  granted: false,
  reason,
  evidence,
});

/** True if the knowledge is recent enough to act on. */
export const isFresh = ({ age, limit }: Evidence): boolean => age <= limit;

/** Log fields for evidence, with durations in whole milliseconds. */
export interface EvidenceFields {
  evidence?: EvidenceSource;
  /** Null if nothing has been read yet. */
  ageMs?: number | null;
  limitMs?: number;
}

/** Returns the log fields for the evidence of a decision; empty without evidence. */
export function evidenceFields(evidence: Evidence | null): EvidenceFields {
  if (!evidence) return {};
  const { source, age, limit } = evidence;
  return {
    evidence: source,
    ageMs: Number.isFinite(age) ? Math.round(age) : null,
    limitMs: Math.round(limit),
  };
}
