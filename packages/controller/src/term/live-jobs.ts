/** The live jobs of a term, their dependencies, and the progress of them that is stored. */
import type { StateItem } from '@tealdock/wire';
import { DependencyGraph } from '../jobs/dependency-graph.js';
import type { JobEnd } from '../jobs/job-end-reader.js';
import { LiveJob } from '../jobs/live-job.js';
import type { Leadership } from '../leadership/leadership.js';
import { BoundedSet } from '../runtime/bounded.js';
import type { Runtime } from '../runtime/runtime.js';
import { PROGRESS_PREFIX, progressEntry, splitProgressEntry } from '../state/keys.js';
import { readLive } from '../state/stored-values.js';
import { ShardedTable } from '../state/sharded-table.js';
import type { StateStore } from '../state/state-store.js';
import type { RunTimeRatioView } from './run-time-ratios.js';
import type { TermStatus } from './term-view.js';

/** Ended jobs that are remembered. */
const MAX_ENDED_JOB_COUNT = 5000;

/** What live jobs depend on, and whom they inform. */
export interface LiveJobsOptions {
  term: TermStatus;
  runTimeRatios: RunTimeRatioView;
  /** Called with each job that is no longer live, before the jobs that depend on it. */
  onEnded: (job: LiveJob) => void;
}

/**
 * Owner of the term's live jobs: they are added as their keys appear, and removed as they end on
 * any node.
 */
export class LiveJobs {
  readonly graph: DependencyGraph;
  private readonly byId = new Map<string, LiveJob>();
  private readonly progress: ShardedTable<string>;
  /** Jobs that have ended. The event of their submission may still be on its way. */
  private readonly endedJobs = new BoundedSet<string>(MAX_ENDED_JOB_COUNT);

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    leadership: Leadership,
    private readonly options: LiveJobsOptions,
  ) {
    const { term, runTimeRatios } = options;
    this.graph = new DependencyGraph(runtime, state, {
      jobs: this.byId,
      runTimeRatios,
      get closed() {
        return term.closed;
      },
    });
    this.progress = new ShardedTable(runtime, state, leadership, {
      keyPrefix: PROGRESS_PREFIX,
      gatherTime: 0,
      valuesDeferrable: true,
      onStored: (entries) => this.applyStoredProgress(entries),
    });
  }

  /** By identifier, in the order in which they became known. */
  get jobs(): ReadonlyMap<string, LiveJob> {
    return this.byId;
  }

  /** Stops writing progress. */
  close(): void {
    this.progress.close();
  }

  /** The ended key of the job was read: it will never be live again. */
  recordEnded(id: string): void {
    this.endedJobs.add(id);
  }

  /** True if the job is known to have ended, which is final; false also if that is unknown. */
  hasEnded(id: string): boolean {
    return this.endedJobs.has(id);
  }

  /** Adds a job as stored under its live key; no effect if it is known already or has ended. */
  addJob(id: string, stored: unknown, version: number): void {
    if (this.byId.has(id) || this.endedJobs.has(id)) return;
    const value = readLive(stored);
    if (!value) return this.runtime.log('error', { job: id }, 'stored job unreadable');
    const ageMs = Math.max(0, this.runtime.wallClock.getTime() - value.submitted);
    const job = new LiveJob(value.spec, version, this.runtime.now - ageMs);
    this.byId.set(id, job);
    this.graph.add(job);
    if (this.options.term.stateLoaded) this.graph.readPredecessorEnds(job);
    const { jobClass, taskCount, image, imageGb } = value.spec;
    this.runtime.log(
      'debug',
      { job: id, jobClass, tasks: taskCount, image, imageGb },
      'live job added',
    );
  }

  /** A node reports a cancellation that it has committed; the watch may show it later or never. */
  applyCancellation(id: string): void {
    const live = this.byId.has(id);
    this.runtime.log('debug', { job: id, live }, 'cancellation received');
    this.endedJobs.add(id);
    this.endJob(id);
  }

  /**
   * Removes a job that is no longer live. Without `end` the graph reads how it ended, where other
   * jobs depend on it. No effect if the job is not live here.
   */
  endJob(id: string, end: JobEnd | null = null): void {
    const job = this.byId.get(id);
    if (!job) return;
    this.byId.delete(id);
    this.endedJobs.add(id);
    this.runtime.log('info', { job: id, done: job.progress.doneTaskCount }, 'job ended');
    this.options.onEnded(job);
    this.graph.remove(job, end);
  }

  /** Starts from the stored progress that an earlier leader has written. */
  loadProgress(items: StateItem[]): void {
    this.applyStoredProgress(this.progress.load(items));
  }

  /** Queues completed tasks of a job that are not stored yet for writing. */
  storeProgress(job: LiveJob): void {
    for (const chunk of job.progress.uncommittedChunks())
      this.progress.set(progressEntry(job.id, chunk), job.progress.encodeChunk(chunk));
  }

  /** Drops the stored progress of a job whose ended key is stored. */
  deleteProgress(job: LiveJob): void {
    for (const chunk of job.progress.chunks()) this.progress.forget(progressEntry(job.id, chunk));
  }

  /** Entries of jobs that have ended are dropped. */
  private applyStoredProgress(entries: [string, string][]): void {
    for (const [entry, bits] of entries) {
      const { job: id, chunk } = splitProgressEntry(entry);
      const job = this.byId.get(id);
      if (job) job.applyStoredProgress(chunk, bits);
      else this.progress.forget(entry);
    }
  }
}
