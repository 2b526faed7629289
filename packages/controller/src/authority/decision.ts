/** Typed answers to the question whether a leader may do something, and on what evidence. */
import type { Duration, Instant } from '@tealdock/wire';

/** Where the knowledge behind a decision comes from: the leader's watch on the live jobs. */
export type EvidenceSource = 'job watch';

/** The knowledge that a decision rests on, with its age and the greatest age allowed, in ms. */
export interface Evidence {
  source: EvidenceSource;
  /** Infinity as long as nothing has been read. */
  age: Duration;
  limit: Duration;
}

/** Why something may not be done; part of the counters `starts.refused.<reason>`. */
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
  /** Null if the refusal does not depend on the age of any knowledge. */
  evidence: Evidence | null;
}

/** Whether an action is allowed. */
export type Decision = Granted | Refused;

/** Makes a refusal. */
export const refused = (reason: RefusalReason, evidence: Evidence | null = null): Refused => ({
  granted: false,
  reason,
  evidence,
});

/** True while the knowledge is recent enough to act on. */
export const isFresh = ({ age, limit }: Evidence): boolean => age <= limit;

/** Evidence as the log shows it, in whole milliseconds. */
export interface EvidenceFields {
  evidence?: EvidenceSource;
  /** Null if nothing has been read yet. */
  ageMs?: number | null;
  limitMs?: number;
}

/** The log fields that describe what a decision rests on; empty without evidence. */
export function evidenceFields(evidence: Evidence | null): EvidenceFields {
  if (!evidence) return {};
  const { source, age, limit } = evidence;
  return {
    evidence: source,
    ageMs: Number.isFinite(age) ? Math.round(age) : null,
    limitMs: Math.round(limit),
  };
}
