/** Commits ends of jobs and progress of tasks. */
import type { Precondition, Write } from '@tealdock/wire';
import { priorityRank } from '@tealdock/scheduler';
import { endOf, type JobEnd } from '../jobs/job-end-reader.js';
import { endedKey, progressEntry, specKey } from '../state/keys.js';
import type { Leadership } from '../leadership/leadership.js';
import type { LiveJob } from '../jobs/live-job.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { readEnded, endedValue, type EndedValue } from '../state/stored-values.js';
import type { Term } from './term.js';

const FLUSH_EVERY = 250;
/** Progress of jobs that go on: one change holds that of many jobs, so it is gathered. */
const PROGRESS_EVERY = 1000;
const MAX_STRAY_KEYS = 4;

/** The end of one job, to be committed. */
interface Ending {
  job: LiveJob;
  value: EndedValue;
  guard: Precondition;
  writes: Write[];
}

/**
 * Commits what tasks have completed, in batches, before it is told to users and
 * before a worker is told to forget. A job whose tasks are all done moves from
 * the live keys to the ended ones in one transaction; the version of its spec
 * decides between that and a cancellation.
 */
export class JobCompletion {
  private busy = false;
  /** Jobs whose tasks are all done, in the order in which that was seen. */
  private readonly completed = new Set<LiveJob>();

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly term: Term,
  ) {}

  start(): void {
    this.repeat(FLUSH_EVERY, () => this.flush());
    this.repeat(PROGRESS_EVERY, () => this.noteProgress());
  }

  private repeat(period: number, run: () => void): void {
    this.runtime.every(period, () => {
      if (!this.term.closed && this.term.stateLoaded && this.leadership.validLease()) run();
      return !this.term.closed;
    });
  }

  private flush(): void {
    if (this.busy) return;
    const batch = this.endings();
    if (batch.length === 0) return this.removeStrayKeys();
    this.busy = true;
    const guards = [this.leadership.leaderPrecondition(), ...batch.map((e) => e.guard)];
    const writes = batch.flatMap((e) => e.writes);
    this.state.compareAndSwap(guards, writes, PRIORITY.leader, (committed) => {
      this.busy = false;
      if (committed.kind === 'conflict') this.reconcile(batch);
      if (committed.kind !== 'ok') return;
      for (const { job, value } of batch) {
        this.ended(job, { ...value, revision: committed.revision });
      }
      // Others may wait for the next end.
      if (!this.term.closed && this.leadership.validLease()) this.flush();
    });
  }

  /** As many as one transaction takes. */
  private endings(): Ending[] {
    const most = Math.floor(this.runtime.settings.state.maxTransactionWrites / 2);
    return this.jobsToEnd()
      .slice(0, most)
      .map((job) => this.ending(job));
  }

  /**
   * Jobs that other jobs wait for come first, the most urgent of them before the rest: where
   * the state service allows few changes, ends queue up, and a release waits for its end.
   * The others follow in the order in which they were completed, so that none waits for long.
   * Cancelled dependents come last, since a node that is asked about one ends it by itself.
   */
  private jobsToEnd(): LiveJob[] {
    const cancelled: LiveJob[] = [];
    for (const job of this.term.jobs.values()) {
      if (job.dependencies.hasCancelledPredecessor) cancelled.push(job);
      else if (job.progress.isComplete) this.completed.add(job);
    }
    const awaited: LiveJob[] = [];
    const others: LiveJob[] = [];
    for (const job of this.completed) {
      if (this.term.jobs.get(job.id) !== job) this.completed.delete(job);
      else if (this.term.liveJobs.graph.isAwaited(job.id)) awaited.push(job);
      else others.push(job);
    }
    return [...awaited.sort(byUrgency), ...others, ...cancelled];
  }

  private ended(job: LiveJob, end: JobEnd): void {
    for (const chunk of job.progress.chunks())
      this.term.liveJobs.progress.forget(progressEntry(job.id, chunk));
    this.term.liveJobs.endJob(job.id, end);
  }

  private noteProgress(): void {
    for (const job of this.term.jobs.values()) {
      if (job.progress.isComplete) continue;
      for (const chunk of job.progress.uncommittedChunks()) {
        this.term.liveJobs.progress.set(
          progressEntry(job.id, chunk),
          job.progress.encodeChunk(chunk),
        );
      }
    }
  }

  /** Keys that belong to no job, a few at a time when nothing else is to be done. */
  private removeStrayKeys(): void {
    const keys = this.term.strayKeys.splice(0, MAX_STRAY_KEYS);
    if (keys.length === 0) return;
    this.busy = true;
    const writes = keys.map((key) => ({ remove: key }));
    this.state.compareAndSwap(
      [this.leadership.leaderPrecondition()],
      writes,
      PRIORITY.background,
      (committed) => {
        this.busy = false;
        if (committed.kind !== 'ok') this.term.strayKeys.push(...keys);
      },
    );
  }

  /**
   * Some job of the batch has ended, or leadership is gone. Whoever ended the
   * job wrote its ended key, also when an earlier commit of ours got no answer.
   */
  private reconcile(batch: Ending[]): void {
    for (const { job } of batch) {
      this.state.getValue(endedKey(job.id), readEnded, PRIORITY.leader, (got) => {
        if (got.kind === 'found') this.ended(job, endOf(got));
      });
    }
  }

  /** A job whose tasks are all done, or one that needs a cancelled job and never started. */
  private ending(job: LiveJob): Ending {
    const { maxValueBytes } = this.runtime.settings.state;
    const state = job.dependencies.hasCancelledPredecessor ? 'cancelled' : 'done';
    const value = endedValue(state, job.acceptedSpec, this.runtime.wallClock, maxValueBytes);
    return {
      job,
      value,
      guard: { key: specKey(job.id), version: job.version },
      writes: [{ put: endedKey(job.id), value }, { remove: specKey(job.id) }],
    };
  }
}

/** The higher priority first, then the earlier due time; both include those of dependents. */
function byUrgency(a: LiveJob, b: LiveJob): number {
  const byPriority = priorityRank(b.spec) - priorityRank(a.spec);
  if (byPriority !== 0 || a.finishBy === b.finishBy) return byPriority;
  return a.finishBy - b.finishBy;
}
