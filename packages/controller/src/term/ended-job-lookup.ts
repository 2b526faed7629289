/** Resources and teams of tasks that heartbeats still show although their jobs have ended. */
import type { JobSpec } from '@tealdock/wire';
import { resourcesOf } from '@tealdock/scheduler';
import type { Binding } from '../jobs/binding.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { endedKey } from '../state/keys.js';
import { COMMIT_TIMEOUT_MS, type StateStore } from '../state/state-store.js';
import { readEnded } from '../state/stored-values.js';
import type { Bindings } from './bindings.js';
import type { LiveJobs } from './live-jobs.js';
import type { TermView } from './term-view.js';

/** Pause after a read that failed. */
const RETRY_DELAY_MS = 400;

/**
 * Reads the ended keys of jobs that are not live. Quotas can't be kept until the resources and
 * teams of all bound tasks are known, so nothing is placed before (docs/safety.md, rule `quota`).
 */
export class EndedJobLookup {
  /** Bindings of each job whose ended key is being read. */
  private readonly lookups = new Map<string, Binding[]>();

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly term: TermView,
    private readonly liveJobs: LiveJobs,
    private readonly bindings: Bindings,
  ) {}

  /** True while the resources and team of every task that a heartbeat has shown are known. */
  get isComplete(): boolean {
    return this.term.stateLoaded && this.lookups.size === 0;
  }

  /** Reads the ended key of the binding's job, and completes the binding from it. */
  lookUp(binding: Binding): void {
    const pending = this.lookups.get(binding.job);
    if (pending) return void pending.push(binding);
    this.lookups.set(binding.job, [binding]);
    this.readEnd(binding.job);
  }

  private readEnd(job: string): void {
    this.state.getValue(endedKey(job), readEnded, PRIORITY.leader, (got) => {
      if (this.term.closed) return;
      if (got.kind === 'failed') return this.runtime.after(RETRY_DELAY_MS, () => this.readEnd(job));
      const bindings = this.lookups.get(job) ?? [];
      this.lookups.delete(job);
      if (got.kind === 'found') {
        this.liveJobs.recordEnded(job);
        this.applySpec(bindings, got.value.spec);
        if (got.value.state === 'cancelled') this.setTerminationDeadlines(bindings, got.value.at);
      }
      if (this.isComplete) this.releaseStarts();
    });
  }

  private applySpec(bindings: Binding[], spec: JobSpec): void {
    for (const binding of bindings) {
      if (this.bindings.isBound(binding)) binding.setUsage(spec.team, resourcesOf(spec));
    }
  }

  /** `cancelledAt` is wall-clock time of another node; undefined in values of older versions. */
  private setTerminationDeadlines(bindings: Binding[], cancelledAt: number | undefined): void {
    const { wallClock, settings, now } = this.runtime;
    const ageMs =
      cancelledAt === undefined
        ? 0
        : wallClock.getTime() - cancelledAt - 2 * settings.maxClockError;
    // The user may get the confirmation up to one commit timeout after the key was written.
    const confirmedAt = now - Math.max(0, ageMs - COMMIT_TIMEOUT_MS);
    for (const binding of bindings) this.bindings.setTerminationDeadline(binding, confirmedAt);
  }

  /** Starts were refused until all resources were known: they may leave now. */
  private releaseStarts(): void {
    for (const id of this.term.machines.keys()) this.bindings.markDirtyIfUndispatched(id);
  }
}
