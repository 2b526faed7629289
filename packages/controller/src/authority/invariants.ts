/** Reports violations of the safety invariants that the controller checks at run time. */
import type { Runtime } from '../runtime/runtime.js';
import type { EvidenceSource } from './decision.js';

/** A rule of docs/safety.md; part of the names of the counters `violations.<invariant>`. */
export type Invariant = 'started_ended_job' | 'renewed_without_stop' | 'ran_past_cancel_limit';

/** The task for which an invariant did not hold, and the evidence that the controller used. */
export interface Violation {
  job: string;
  task: string;
  machine: string;
  fencingToken: number;
  evidence: EvidenceSource | 'none';
  /** Age of the evidence in ms; null without evidence, or if nothing has been read yet. */
  ageMs: number | null;
}

/** Counts and logs a violation. Never throws, so that the service continues. */
export function reportViolation(
  runtime: Runtime,
  invariant: Invariant,
  violation: Violation,
): void {
  runtime.stats.count(`violations.${invariant}`);
  runtime.log('error', { invariant, ...violation }, 'invariant violated');
}
