/** Which jobs wait for which others, and what releases them. */
import { predecessorsOf, type Instant } from '@tealdock/wire';
import { dependentDemands, type GraphJob } from '@tealdock/scheduler';
import { endedKey } from '../state/keys.js';
import { readEnded, type EndedValue } from '../state/stored-values.js';
import type { LiveJob } from './live-job.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';

const RETRY = 400;
/** Reads of ends at a time: a new term may need hundreds, and has other things to read. */
const MOST_READS = 12;

/** The end of a job as its key says, or as this leader has committed it. */
export interface JobEnd extends Pick<EndedValue, 'state' | 'at'> {
  /** Revision of the commit that wrote the ended key. */
  revision: number;
}

/** What it has to know of a term. */
interface Jobs {
  readonly jobs: ReadonlyMap<string, LiveJob>;
  readonly runTimeRatios: { ratioOf(jobClass: string): number };
  readonly closed: boolean;
}

/**
 * Which live jobs wait for which others. A job is released only once an ended key, read or
 * committed by this leader, says `done` for each predecessor; nothing else releases
 * (docs/safety.md). One that says `cancelled` cancels all that need that job.
 */
export class DependencyGraph {
  /** Jobs that wait for a job, by that job. */
  private readonly dependents = new Map<string, Set<LiveJob>>();
  /** Ends that are to be read, in that order. */
  private readonly unread = new Set<string>();
  private reading = 0;
  private changed = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly term: Jobs,
  ) {}

  add(job: LiveJob): void {
    if (job.pendingPredecessors.size === 0) return;
    this.changed = true;
    for (const p of job.pendingPredecessors) {
      const waiting = this.dependents.get(p) ?? new Set();
      this.dependents.set(p, waiting.add(job));
    }
  }

  /** Ends of predecessors that are not live; to be called once all live jobs are known. */
  readEnds(job: LiveJob): void {
    for (const p of job.pendingPredecessors) if (!this.term.jobs.has(p)) this.ask(p);
  }

  /** A job is no longer live. Without its end that has to be read before it counts. */
  ended(job: LiveJob, end: JobEnd | null): void {
    for (const p of predecessorsOf(job.accepted)) {
      if (this.dependents.get(p)?.delete(job)) this.changed = true;
    }
    if (!this.dependents.has(job.id)) return;
    if (end) this.settle(job.id, end);
    else this.ask(job.id);
  }

  /** True while some live job waits for the end of this one. */
  isAwaited(id: string): boolean {
    return (this.dependents.get(id)?.size ?? 0) > 0;
  }

  /** Priorities and deadlines along the chains, made anew where a chain has changed. */
  updateDemands(): void {
    if (!this.changed) return;
    this.changed = false;
    const all = [...this.term.jobs.values()];
    const demands = dependentDemands(
      all.filter((j) => !j.predecessorCancelled).map((j) => this.graphJob(j)),
    );
    for (const job of all) {
      const demand = demands.get(job.id);
      if (demand) job.applyDependentDemand(demand);
    }
  }

  private graphJob(job: LiveJob): GraphJob {
    const { id, priority, estimate, jobClass } = job.accepted;
    return {
      id,
      predecessors: predecessorsOf(job.accepted),
      priority,
      finishBy: job.ownFinishBy,
      run: estimate * this.term.runTimeRatios.ratioOf(jobClass),
    };
  }

  // --- ends ------------------------------------------------------------------

  private ask(id: string): void {
    this.unread.add(id);
    this.read();
  }

  private read(): void {
    for (const id of this.unread) {
      if (this.reading >= MOST_READS || this.term.closed) return;
      this.unread.delete(id);
      this.reading++;
      this.state.getValue(endedKey(id), readEnded, PRIORITY.leader, (got) => {
        this.reading--;
        if (got.kind === 'found') this.settle(id, endOf(got));
        // It was accepted, so it is live: the event may still be on its way.
        else if (got.kind === 'failed' || !this.term.jobs.has(id)) this.askLater(id);
        this.read();
      });
    }
  }

  private askLater(id: string): void {
    this.runtime.after(RETRY, () => {
      if (!this.term.closed && this.dependents.has(id)) this.ask(id);
    });
  }

  private settle(id: string, end: JobEnd): void {
    const waiting = this.dependents.get(id);
    this.dependents.delete(id);
    this.changed = true;
    for (const job of waiting ?? []) {
      if (end.state === 'cancelled') this.cancelWithDependents(job);
      else this.noteDone(job, id, end);
    }
  }

  /** Released when the last of them was done; a take-over finds the same moment again. */
  private noteDone(job: LiveJob, predecessor: string, end: JobEnd): void {
    job.pendingPredecessors.delete(predecessor);
    job.lastPredecessorDoneAt = Math.max(
      job.lastPredecessorDoneAt,
      this.steady(end.at ?? -Infinity),
    );
    job.startableSinceRevision = Math.max(job.startableSinceRevision, end.revision);
    if (job.pendingPredecessors.size > 0 || job.predecessorCancelled) return;
    job.releasedAt = Math.max(job.submittedAt, job.lastPredecessorDoneAt);
    const ageMs = Math.round(this.runtime.now - job.releasedAt);
    this.runtime.env.log('debug', { job: job.id, ageMs }, 'job released');
  }

  private steady(at: number): Instant {
    return this.runtime.now - Math.max(0, this.runtime.wallClock.getTime() - at);
  }

  private cancelWithDependents(first: LiveJob): void {
    const next = [first];
    for (let job = next.pop(); job; job = next.pop()) {
      if (job.predecessorCancelled) continue;
      job.predecessorCancelled = true;
      next.push(...(this.dependents.get(job.id) ?? []));
    }
  }
}

/** What an ended key says, with the revision that wrote it. */
export function endOf({ value, version }: { value: EndedValue; version: number }): JobEnd {
  return { state: value.state, at: value.at, revision: version };
}
