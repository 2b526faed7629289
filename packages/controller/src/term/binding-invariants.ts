/** Safety invariants that are checked as worker commands are collected (docs/safety.md). */
import type { Authority } from '../authority/authority.js';
import { evidenceFields } from '../authority/decision.js';
import { reportViolation, type Invariant } from '../authority/invariants.js';
import type { Binding } from '../jobs/binding.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { Runtime } from '../runtime/runtime.js';

/** What the checks read of a term. */
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
   * True, and reported, if the task of an assigned binding must not start: its job has ended, is
   * not released yet, or needs a cancelled job. Assignments are released with their job, so none
   * is expected.
   */
  violatesStart(binding: Binding): boolean {
    const job = this.term.jobs.get(binding.job);
    if (job?.dependencies.isReleased && !job.dependencies.hasCancelledPredecessor) return false;
    this.report('started_ended_job', binding);
    return true;
  }

  /** Checks that a task whose job is not live is being stopped, and is gone by its deadline. */
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
