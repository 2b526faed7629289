/** Dependencies between live jobs, and the release of jobs whose predecessors are done. */
import { predecessorsOf, type Instant } from '@tealdock/wire';
import { dependentDemands, type GraphJob } from '@tealdock/scheduler';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { JobEndReader, type JobEnd } from './job-end-reader.js';
import type { LiveJob } from './live-job.js';

/** The part of a term that the graph reads. */
interface LiveJobsView {
  readonly jobs: ReadonlyMap<string, LiveJob>;
  /** Ratio of actual to estimated run time by class. */
  readonly runTimeRatios: { ratioOf(jobClass: string): number };
  readonly closed: boolean;
}

/**
 * Dependencies between live jobs. A job is released only once this leader has read or committed,
 * for each predecessor, an ended key with the state `done`; nothing else releases it
 * (docs/safety.md). An ended key with the state `cancelled` cancels all dependents of its job,
 * direct and indirect.
 */
export class DependencyGraph {
  /** Jobs that wait for a predecessor, by the predecessor's id. */
  private readonly dependents = new Map<string, Set<LiveJob>>();
  private readonly endReader: JobEndReader;
  private areDemandsOutdated = false;

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    private readonly term: LiveJobsView,
  ) {
    this.endReader = new JobEndReader(runtime, state, {
      get isClosed() {
        return term.closed;
      },
      isLive: (id) => term.jobs.has(id),
      needsEnd: (id) => this.dependents.has(id),
      onEndRead: (id, end) => this.applyEnd(id, end),
    });
  }

  /** Adds a job that has become live. */
  add(job: LiveJob): void {
    const { pendingPredecessors } = job.dependencies;
    if (pendingPredecessors.size === 0) return;
    this.areDemandsOutdated = true;
    for (const predecessor of pendingPredecessors) {
      const waiting = this.dependents.get(predecessor) ?? new Set();
      this.dependents.set(predecessor, waiting.add(job));
    }
  }

  /**
   * Reads the ends of the job's predecessors that are not live; to be called only once all live
   * jobs are known.
   */
  readPredecessorEnds(job: LiveJob): void {
    for (const predecessor of job.dependencies.pendingPredecessors)
      if (!this.term.jobs.has(predecessor)) this.endReader.request(predecessor);
  }

  /**
   * Removes a job that is no longer live, and applies its end to its dependents. If `end` is null,
   * it is read first.
   */
  remove(job: LiveJob, end: JobEnd | null): void {
    for (const predecessor of predecessorsOf(job.acceptedSpec)) {
      if (this.dependents.get(predecessor)?.delete(job)) this.areDemandsOutdated = true;
    }
    if (!this.dependents.has(job.id)) return;
    if (end) this.applyEnd(job.id, end);
    else this.endReader.request(job.id);
  }

  /** True while some live job waits for the end of this one. */
  isAwaited(id: string): boolean {
    return (this.dependents.get(id)?.size ?? 0) > 0;
  }

  /** Recomputes priorities and deadlines inherited from dependents, if the graph has changed. */
  updateDemands(): void {
    if (!this.areDemandsOutdated) return;
    this.areDemandsOutdated = false;
    const jobs = [...this.term.jobs.values()];
    const demands = dependentDemands(
      jobs
        .filter((job) => !job.dependencies.hasCancelledPredecessor)
        .map((job) => this.graphJobOf(job)),
    );
    for (const job of jobs) {
      const demand = demands.get(job.id);
      if (demand) job.applyDependentDemand(demand);
    }
  }

  private graphJobOf(job: LiveJob): GraphJob {
    const { id, priority, estimate, jobClass } = job.acceptedSpec;
    return {
      id,
      predecessors: predecessorsOf(job.acceptedSpec),
      priority,
      finishBy: job.ownFinishBy,
      runTime: estimate * this.term.runTimeRatios.ratioOf(jobClass),
    };
  }

  private applyEnd(id: string, end: JobEnd): void {
    const waiting = this.dependents.get(id);
    this.dependents.delete(id);
    this.areDemandsOutdated = true;
    for (const job of waiting ?? []) {
      if (end.state === 'cancelled') this.cancelWithDependents(job);
      else this.recordPredecessorDone(job, id, end);
    }
  }

  private recordPredecessorDone(job: LiveJob, id: string, { at, revision }: JobEnd): void {
    const doneAt = this.toMonotonicInstant(at ?? -Infinity);
    const isReleased = job.dependencies.recordPredecessorDone({ id, doneAt, revision });
    if (!isReleased) return;
    const ageMs = Math.round(this.runtime.now - job.dependencies.startableAt);
    this.runtime.log('debug', { job: job.id, ageMs }, 'job released');
  }

  /** Converts a Unix time to this process's monotonic clock; a future time becomes now. */
  private toMonotonicInstant(unixTimeMs: number): Instant {
    return this.runtime.now - Math.max(0, this.runtime.wallClock.getTime() - unixTimeMs);
  }

  private cancelWithDependents(first: LiveJob): void {
    const next = [first];
    for (let job = next.pop(); job; job = next.pop()) {
      if (job.dependencies.hasCancelledPredecessor) continue;
      job.dependencies.recordPredecessorCancelled();
      next.push(...(this.dependents.get(job.id) ?? []));
    }
  }
}
