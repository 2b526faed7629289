/** Safety invariants that are checked when commands for a worker are collected (docs/safety.md). */
import type { Authority } from '../authority/authority.js';
import { evidenceFields } from '../authority/decision.js';
import { reportViolation, type Invariant } from '../authority/invariants.js';
import type { Binding } from '../jobs/binding.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { Runtime } from '../runtime/runtime.js';

/** The part of a term that the checks read. */
export interface CheckedTerm {
  readonly fencingToken: number;
  readonly jobs: ReadonlyMap<string, LiveJob>;
}

/** Checks the bindings of one term and reports each violation in the log and the counters. */
export class BindingInvariants {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: CheckedTerm,
    private readonly authority: Authority,
  ) {}

  /**
   * Returns true and reports a violation if the task of an assigned binding must not start: its
   * job has ended, waits for a predecessor, or has a cancelled predecessor. This is not expected,
   * since undispatched assignments are dropped when their job ends.
   */
  forbidsStart(binding: Binding): boolean {
    const job = this.term.jobs.get(binding.job);
    if (job?.dependencies.isReleased && !job.dependencies.hasCancelledPredecessor) return false;
    this.report('started_ended_job', binding);
    return true;
  }

  /**
   * Reports a violation if an observed task has no stop request although its job is not live, and,
   * once, if a task is still bound after its termination deadline.
   */
  checkRenewal(binding: Binding): void {
    if (!binding.stopRequest && binding.isObserved && this.authority.mayStop(binding.job))
      this.report('renewed_without_stop', binding);
    const deadline = binding.terminationDeadline;
    if (deadline === null || this.runtime.now <= deadline) return;
    binding.markOverdueReported();
    this.report('ran_past_cancel_limit', binding);
  }

  private report(invariant: Invariant, { job, task, machine }: Binding): void {
    const { evidence } = this.authority.renewal();
    const { evidence: source = 'none', ageMs = null } = evidenceFields(evidence);
    const { fencingToken } = this.term;
    const subject = { job, task, machine, fencingToken };
    reportViolation(this.runtime, invariant, { ...subject, evidence: source, ageMs });
  }
}
