/** Typed answers to the question whether something may be done, and on what evidence. */
import type { Duration, Instant } from '@tealdock/wire';

/** What a decision rests on. */
export type EvidenceSource = 'job watch' | 'liveness proof' | 'ended key';

/** Knowledge that a decision rests on: how old it is, and how old it may be. */
export interface Evidence {
  source: EvidenceSource;
  age: Duration;
  limit: Duration;
}

/** Why something may not be done. */
export type RefusalReason =
  | 'no_lease'
  | 'term_over'
  | 'jobs_not_read'
  | 'knowledge_stale'
  | 'machine_gone'
  | 'machine_hears_nothing'
  | 'machine_not_registered'
  | 'machine_unaccounted'
  | 'machine_returning'
  | 'sizes_unknown';

/** It may be done under this token, up to that instant. */
export interface Granted {
  granted: true;
  fencingToken: number;
  validUntil: Instant;
  evidence: Evidence;
}

/** It may not be done now. */
export interface Refused {
  granted: false;
  reason: RefusalReason;
  /** Null where no knowledge was looked at. */
  evidence: Evidence | null;
}

/** Whether something may be done. */
export type Decision = Granted | Refused;

/** A refusal that no knowledge could change. */
export const refused = (reason: RefusalReason, evidence: Evidence | null = null): Refused => ({
  granted: false,
  reason,
  evidence,
});

/** True while knowledge is young enough to act on. */
export const isFresh = ({ age, limit }: Evidence): boolean => age <= limit;

/** Evidence as the log shows it; the times in whole ms. */
export interface EvidenceFields {
  evidence?: EvidenceSource;
  ageMs?: number | null;
  limitMs?: number;
}

/** The fields of a log line that tell what a decision rests on. */
export function evidenceFields(evidence: Evidence | null): EvidenceFields {
  if (!evidence) return {};
  const { source, age, limit } = evidence;
  return {
    evidence: source,
    // Nothing has been read yet where the age is not finite.
    ageMs: Number.isFinite(age) ? Math.round(age) : null,
    limitMs: Math.round(limit),
  };
}
