/** What must never happen, checked while the controller runs. */
import type { Instant } from '@tealdock/wire';
import type { Runtime } from '../runtime/runtime.js';
import type { EvidenceSource } from './decision.js';

/** A rule of docs/safety.md that the controller has seen broken. */
export type Invariant = 'started_ended_job' | 'renewed_without_stop' | 'ran_past_cancel_limit';

/** What was seen, and what the controller acted on. */
export interface Violation {
  job: string;
  task: string;
  machine: string;
  fencingToken: number;
  evidence: EvidenceSource | 'none';
  ageMs: number | null;
}

/** A task on a machine. */
export interface EndingTask {
  /** When it must be gone, since its job has ended; null while the job has not. */
  readonly terminationDeadline: Instant | null;
  /** Its lateness has been reported; it is not reported again. */
  markOverdueReported(): void;
}

/** Reports violations in the log and in the counters, and lets the service go on. */
export class Invariants {
  constructor(private readonly runtime: Runtime) {}

  violated(invariant: Invariant, violation: Violation): void {
    this.runtime.stats.count(`violations.${invariant}`);
    this.runtime.env.log('error', { invariant, ...violation }, 'invariant violated');
  }

  /** A newest report still shows the task; it must be gone once its limit has passed. */
  checkGone(ending: EndingTask, describe: () => Violation): void {
    if (ending.terminationDeadline === null || this.runtime.now <= ending.terminationDeadline)
      return;
    ending.markOverdueReported();
    this.violated('ran_past_cancel_limit', describe());
  }
}
