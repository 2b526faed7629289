/** What a new leader reads from the state service before it acts. */
import type { StateItem } from '@tealdock/wire';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { LIVE_PREFIX, PROGRESS_PREFIX, REGISTRY_PREFIX, splitLiveKey } from '../state/keys.js';
import type { RegistryEntry } from '../state/stored-values.js';
import type { StateStore } from '../state/state-store.js';
import type { JobWatch } from './job-watch.js';
import type { LiveJobs } from './live-jobs.js';
import type { Membership } from './membership.js';
import type { TermState } from './term-state.js';

const RETRY = 400;

/** Reads machines, live jobs and progress once, as a term begins (docs/safety.md, Rebuild). */
export class Rebuild {
  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly term: TermState,
    private readonly membership: Membership,
    private readonly liveJobs: LiveJobs,
    private readonly watch: JobWatch,
  ) {}

  load(): void {
    if (this.term.closed) return;
    const retry = () => this.runtime.after(RETRY, () => this.load());
    this.readTables((registry, progress) => {
      if (!registry || !progress) return retry();
      const asked = this.runtime.now;
      this.state.readAll(LIVE_PREFIX, PRIORITY.leader, (live) => {
        if (live.kind === 'failed') return retry();
        if (this.term.closed) return;
        this.watch.cancellationsKnownUntil = asked;
        for (const [id, entry] of this.membership.registry.load(registry))
          this.loadMachine(id, entry);
        this.loadJobs(live.items);
        for (const job of this.term.jobs.values()) this.liveJobs.graph.readPredecessorEnds(job);
        this.liveJobs.progressStored(this.liveJobs.progress.load(progress));
        this.finishLoad(live.revision);
      });
    });
  }

  private readTables(
    done: (registry: StateItem[] | null, progress: StateItem[] | null) => void,
  ): void {
    this.state.readAll(REGISTRY_PREFIX, PRIORITY.leader, (registry) => {
      if (registry.kind === 'failed') return done(null, null);
      this.state.readAll(PROGRESS_PREFIX, PRIORITY.leader, (progress) =>
        done(registry.items, progress.kind === 'ok' ? progress.items : null),
      );
    });
  }

  private finishLoad(revision: number): void {
    this.term.stateLoaded = true;
    this.runtime.stats.record('takeover.load_ms', this.runtime.now - this.term.electedAt);
    this.runtime.env.log(
      'info',
      {
        fencingToken: this.term.fencingToken,
        jobs: this.term.jobs.size,
        machines: this.term.machines.size,
      },
      'stored state loaded',
    );
    this.watch.follow(revision);
  }

  private loadMachine(id: string, [type, zone, spot, returning, since]: RegistryEntry): void {
    const machine =
      this.term.machines.get(id) ??
      this.membership.newMachine(id, { type, zone, spot: spot === 1 });
    const age = Math.max(0, this.runtime.wallClock.getTime() - since * 1000);
    machine.registration.restore({
      isReturning: returning === 1,
      firstObservedAt: this.runtime.now - age,
      isReconciled: machine.heartbeats.lastCountedAt !== null,
    });
    this.term.machines.set(id, machine);
  }

  private loadJobs(items: StateItem[]): void {
    for (const item of items) {
      const at = splitLiveKey(item.key);
      if (at?.rest === 'spec') this.liveJobs.addJob(at.job, item.value, item.version);
      else this.term.strayKeys.push(item.key);
    }
  }
}
