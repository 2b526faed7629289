/** The live jobs of a term, their dependencies, and their stored progress. */
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

/** Limit on the number of ended jobs that are remembered. */
const MAX_ENDED_JOB_COUNT = 5000;

/** Dependencies of `LiveJobs`. */
export interface LiveJobsOptions {
  term: TermStatus;
  runTimeRatios: RunTimeRatioView;
  /** Called with each job that is no longer live, before the end is applied to its dependents. */
  onEnded: (job: LiveJob) => void;
}

/**
 * Owns the live jobs of a term. A job is added when its live key appears, and removed when any node
 * has ended it.
 */
export class LiveJobs {
  readonly graph: DependencyGraph;
  private readonly byId = new Map<string, LiveJob>();
  private readonly progress: ShardedTable<string>;
  /** Jobs that have ended. The watch may still deliver their submission, which is then ignored. */
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
      batchDelay: 0,
      valuesDeferrable: true,
      onStored: (entries) => this.applyStoredProgress(entries),
    });
  }

  /** Live jobs by identifier, in the order in which they became known. */
  get jobs(): ReadonlyMap<string, LiveJob> {
    return this.byId;
  }

  /** Stops writes of progress. */
  close(): void {
    this.progress.close();
  }

  /** Records that the job's ended key was read, so it will never be live again. */
  recordEnded(id: string): void {
    this.endedJobs.add(id);
  }

  /** True if the job is known to have ended, which is final. False also if that is not known. */
  hasEnded(id: string): boolean {
    return this.endedJobs.has(id);
  }

  /** Adds a job from the value of its live key. No effect if it is known already or has ended. */
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

  /** Applies a cancellation committed by any node; the watch may show it later or not at all. */
  applyCancellation(id: string): void {
    const live = this.byId.has(id);
    this.runtime.log('debug', { job: id, live }, 'cancellation received');
    this.endedJobs.add(id);
    this.endJob(id);
  }

  /**
   * Removes a job that is no longer live. If `end` is null and other jobs depend on the job, the
   * dependency graph reads its ended key. No effect if the job is not among the live jobs.
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

  /** Loads the progress that earlier leaders have stored. */
  loadProgress(items: StateItem[]): void {
    this.applyStoredProgress(this.progress.load(items));
  }

  /** Queues writes of the job's completed tasks that are not stored yet. */
  storeProgress(job: LiveJob): void {
    for (const chunk of job.progress.uncommittedChunks())
      this.progress.set(progressEntry(job.id, chunk), job.progress.encodeChunk(chunk));
  }

  /** Drops the progress of a job whose ended key is stored; this needs no write of its own. */
  deleteProgress(job: LiveJob): void {
    for (const chunk of job.progress.chunks()) this.progress.forget(progressEntry(job.id, chunk));
  }

  /** Applies stored progress to live jobs, and drops the entries of all other jobs. */
  private applyStoredProgress(entries: [string, string][]): void {
    for (const [entry, bits] of entries) {
      const { job: id, chunk } = splitProgressEntry(entry);
      const job = this.byId.get(id);
      if (job) job.applyStoredProgress(chunk, bits);
      else this.progress.forget(entry);
    }
  }
}
