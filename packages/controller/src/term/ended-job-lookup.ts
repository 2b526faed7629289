/** Sizes and teams of tasks whose jobs have ended, which reports may still show. */
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
import type { TermState } from './term-state.js';

const RETRY = 400;

/**
 * Looks ended jobs up by their keys. Until what is bound is known by size and team, limits
 * can't be kept, so nothing is placed (docs/safety.md, rule `quota`).
 */
export class EndedJobLookup {
  /** Tasks of each job that is being looked up. */
  private readonly lookups = new Map<string, Binding[]>();

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly term: TermState,
    private readonly liveJobs: LiveJobs,
    private readonly bindings: Bindings,
  ) {}

  /** Everything that reports have shown so far is known by size and team. */
  get isComplete(): boolean {
    return this.term.stateLoaded && this.lookups.size === 0;
  }

  /** What an ended job's task takes has to be known before anything is placed. */
  lookUp(binding: Binding): void {
    const asked = this.lookups.get(binding.job);
    if (asked) return void asked.push(binding);
    this.lookups.set(binding.job, [binding]);
    this.askFor(binding.job);
  }

  private askFor(job: string): void {
    this.state.getValue(endedKey(job), readEnded, PRIORITY.leader, (got) => {
      if (this.term.closed) return;
      if (got.kind === 'failed') return this.runtime.after(RETRY, () => this.askFor(job));
      const bindings = this.lookups.get(job) ?? [];
      this.lookups.delete(job);
      if (got.kind === 'found') {
        this.liveJobs.recordEnded(job);
        this.fill(bindings, got.value.spec);
        if (got.value.state === 'cancelled') this.noteCancelled(bindings, got.value.at);
      }
      if (this.isComplete) this.markBookedDirty();
    });
  }

  private fill(bindings: Binding[], spec: JobSpec): void {
    for (const binding of bindings) {
      if (this.bindings.isBound(binding)) binding.setUsage(spec.team, resourcesOf(spec));
    }
  }

  /** By the time of day that the ended key carries, which is off by the clocks' bound. */
  private noteCancelled(bindings: Binding[], at: number | undefined): void {
    const { wallClock: today, settings, now } = this.runtime;
    const age = at === undefined ? 0 : today.getTime() - at - 2 * settings.maxClockError;
    // The user is told up to a commit's time after the key was written.
    const since = now - Math.max(0, age - COMMIT_TIMEOUT_MS);
    for (const binding of bindings) this.bindings.setTerminationDeadline(binding, since);
  }

  /** Starts that had to wait may leave now. */
  private markBookedDirty(): void {
    for (const machine of this.term.machines.values())
      if (this.bindings.hasUndispatched(machine.id)) this.term.dirtyMachines.add(machine.id);
  }
}
