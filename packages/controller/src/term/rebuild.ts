/** Loads the stored state when a node becomes the leader. */
import type { StateItem } from '@tealdock/wire';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { LIVE_PREFIX, PROGRESS_PREFIX, REGISTRY_PREFIX, splitLiveKey } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import type { JobWatch } from './job-watch.js';
import type { LiveJobs } from './live-jobs.js';
import type { MachineRegistry } from './machine-registry.js';
import type { StrayKeys } from './stray-keys.js';
import type { TermView } from './term-view.js';

/** Delay after a failed read, before everything is read again. */
const RETRY_DELAY_MS = 400;

/** The parts of a term that are initialized from the stored state. */
export interface RebuildTargets {
  readonly machineRegistry: MachineRegistry;
  readonly liveJobs: LiveJobs;
  readonly strayKeys: StrayKeys;
  readonly watch: JobWatch;
}

/** Stored items of the machine registry and of the progress table. */
interface StoredTables {
  registry: StateItem[];
  progress: StateItem[];
}

/** Reads machines, live jobs and progress when a term begins (docs/safety.md, Rebuild). */
export class Rebuild {
  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly term: TermView,
    private readonly targets: RebuildTargets,
    /** Called once, after the stored state has been applied to the term. */
    private readonly onLoaded: () => void,
  ) {}

  /** Repeats the reads until they succeed or the term closes, then starts the job watch. */
  load(): void {
    if (this.term.closed) return;
    const retry = () => this.runtime.after(RETRY_DELAY_MS, () => this.load());
    this.readTables((tables) => {
      if (!tables) return retry();
      const requestedAt = this.runtime.now;
      this.state.readAll(LIVE_PREFIX, PRIORITY.leader, (live) => {
        if (live.kind === 'failed') return retry();
        if (this.term.closed) return;
        this.targets.watch.recordRead(requestedAt);
        this.apply(tables, live.items);
        this.onLoaded();
        this.logLoaded();
        this.targets.watch.watchFrom(live.revision);
      });
    });
  }

  /** Calls back once, with null if one of the reads fails. */
  private readTables(onRead: (tables: StoredTables | null) => void): void {
    this.state.readAll(REGISTRY_PREFIX, PRIORITY.leader, (registry) => {
      if (registry.kind === 'failed') return onRead(null);
      this.state.readAll(PROGRESS_PREFIX, PRIORITY.leader, (progress) =>
        onRead(
          progress.kind === 'failed'
            ? null
            : { registry: registry.items, progress: progress.items },
        ),
      );
    });
  }

  private apply({ registry, progress }: StoredTables, live: StateItem[]): void {
    const { machineRegistry, liveJobs } = this.targets;
    machineRegistry.load(registry);
    this.addJobs(live);
    for (const job of liveJobs.jobs.values()) liveJobs.graph.readPredecessorEnds(job);
    liveJobs.loadProgress(progress);
  }

  private addJobs(items: StateItem[]): void {
    for (const item of items) {
      const key = splitLiveKey(item.key);
      if (key?.rest === 'spec') this.targets.liveJobs.addJob(key.job, item.value, item.version);
      else this.targets.strayKeys.add(item.key);
    }
  }

  private logLoaded(): void {
    const { fencingToken, jobs, machines, electedAt } = this.term;
    this.runtime.stats.record('takeover.load_ms', this.runtime.now - electedAt);
    const fields = { fencingToken, jobs: jobs.size, machines: machines.size };
    this.runtime.log('info', fields, 'stored state loaded');
  }
}
