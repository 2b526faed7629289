/** Looks up the resources and teams of tasks whose jobs have ended but which still run. */
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

/** Delay before a failed read is repeated. */
const RETRY_DELAY_MS = 400;

/**
 * Reads the ended keys of jobs that are not live but have bound tasks. Team quotas cannot be
 * enforced until the resources and teams of all bound tasks are known, so no task is placed until
 * then (docs/safety.md, rule `quota`).
 */
export class EndedJobLookup {
  /** Bindings by job identifier, for the jobs whose ended key is being read. */
  private readonly lookups = new Map<string, Binding[]>();

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly term: TermView,
    private readonly liveJobs: LiveJobs,
    private readonly bindings: Bindings,
  ) {}

  /** True while the resources and team of every task listed in a heartbeat are known. */
  get isComplete(): boolean {
    return this.term.stateLoaded && this.lookups.size === 0;
  }

  /** Sets the binding's team, resources and, if cancelled, deadline from its job's ended key. */
  lookUp(binding: Binding): void {
    const pending = this.lookups.get(binding.job);
    if (pending) return void pending.push(binding);
    this.lookups.set(binding.job, [binding]);
    this.readEnd(binding.job);
  }

  private readEnd(job: string): void {
    this.state.getValue(endedKey(job), readEnded, PRIORITY.leader, (read) => {
      if (this.term.closed) return;
      if (read.kind === 'failed')
        return this.runtime.after(RETRY_DELAY_MS, () => this.readEnd(job));
      const bindings = this.lookups.get(job) ?? [];
      this.lookups.delete(job);
      if (read.kind === 'found') {
        this.liveJobs.recordEnded(job);
        this.applySpec(bindings, read.value.spec);
        if (read.value.state === 'cancelled') this.setTerminationDeadlines(bindings, read.value.at);
      }
      if (this.isComplete) this.markMachinesWithPendingStarts();
    });
  }

  private applySpec(bindings: Binding[], spec: JobSpec): void {
    for (const binding of bindings) {
      if (this.bindings.isBound(binding)) binding.setUsage(spec.team, resourcesOf(spec));
    }
  }

  /**
   * `cancelledAt` is the wall-clock time, in ms, of the node that committed the cancellation. It is
   * undefined in values that older versions wrote; the limit then counts from now.
   */
  private setTerminationDeadlines(bindings: Binding[], cancelledAt: number | undefined): void {
    const { wallClock, settings, now } = this.runtime;
    const ageMs =
      cancelledAt === undefined
        ? 0
        : wallClock.getTime() - cancelledAt - 2 * settings.maxClockError;
    // The user may receive the confirmation up to one commit timeout after the key was written.
    const confirmedAt = now - Math.max(0, ageMs - COMMIT_TIMEOUT_MS);
    for (const binding of bindings) this.bindings.setTerminationDeadline(binding, confirmedAt);
  }

  /** Marks machines whose starts were refused because not all resources were known. */
  private markMachinesWithPendingStarts(): void {
    for (const id of this.term.machines.keys()) this.bindings.markDirtyIfUndispatched(id);
  }
}
