/** The live jobs of a term, what they wait for and what of them is stored as done. */
import type { Leadership } from '../leadership/leadership.js';
import { DependencyGraph } from '../jobs/dependency-graph.js';
import type { JobEnd } from '../jobs/job-end-reader.js';
import { LiveJob } from '../jobs/live-job.js';
import type { Binding } from '../jobs/binding.js';
import { BoundedSet } from '../runtime/bounded.js';
import type { Runtime } from '../runtime/runtime.js';
import { PROGRESS_PREFIX, splitProgressEntry } from '../state/keys.js';
import { readLive } from '../state/stored-values.js';
import { ShardedTable } from '../state/sharded-table.js';
import type { StateStore } from '../state/state-store.js';
import type { Bindings } from './bindings.js';
import type { TermState } from './term-state.js';

/** Ended jobs that are remembered. */
const MAX_ENDED = 5000;

/** Takes jobs in as their keys appear, and out as they end on any node. */
export class LiveJobs {
  readonly graph: DependencyGraph;
  readonly progress: ShardedTable<string>;
  /** Jobs that have ended. The event of their submission may still be on its way. */
  private readonly endedJobs = new BoundedSet<string>(MAX_ENDED);

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    leadership: Leadership,
    private readonly term: TermState,
    private readonly bindings: Bindings,
  ) {
    this.graph = new DependencyGraph(runtime, state, term);
    this.progress = new ShardedTable(runtime, state, leadership, {
      keyPrefix: PROGRESS_PREFIX,
      gatherTime: 0,
      valuesDeferrable: true,
      onStored: (entries) => this.progressStored(entries),
    });
  }

  /** Its end was read: it is over for good. */
  recordEnded(id: string): void {
    this.endedJobs.add(id);
  }

  addJob(id: string, stored: unknown, version: number): void {
    if (this.term.jobs.has(id) || this.endedJobs.has(id)) return;
    const value = readLive(stored);
    if (!value) return this.runtime.env.log('error', { job: id }, 'stored job unreadable');
    const age = Math.max(0, this.runtime.wallClock.getTime() - value.submitted);
    const job = new LiveJob(value.spec, version, this.runtime.now - age);
    this.term.jobs.set(id, job);
    this.graph.add(job);
    if (this.term.stateLoaded) this.graph.readPredecessorEnds(job);
    const { jobClass, taskCount, image, imageGb } = value.spec;
    this.runtime.env.log(
      'debug',
      { job: id, jobClass, tasks: taskCount, image, imageGb },
      'live job added',
    );
  }

  /** The node that committed a cancellation says so, sooner than the watch or without it. */
  cancellationReceived(id: string): void {
    const live = this.term.jobs.has(id);
    this.runtime.env.log('debug', { job: id, live }, 'cancellation received');
    this.endedJobs.add(id);
    this.endJob(id);
  }

  /** A job that is no longer live: by its own end, or cancelled on any node. */
  endJob(id: string, end: JobEnd | null = null): void {
    const job = this.term.jobs.get(id);
    if (!job) return;
    this.term.jobs.delete(id);
    this.endedJobs.add(id);
    this.runtime.env.log('info', { job: id, done: job.progress.doneTaskCount }, 'job ended');
    for (const binding of job.bindings.values()) {
      this.bindings.discard(binding, 'job ended');
      this.bindings.setTerminationDeadline(binding, this.runtime.now);
    }
    this.graph.remove(job, end);
  }

  /** Its job has ended, for good: known from an event, by word, or from a read of its end. */
  hasEnded(binding: Binding): boolean {
    return this.endedJobs.has(binding.job);
  }

  /** What the progress table says is done; entries of jobs that have ended are dropped. */
  progressStored(entries: [string, string][]): void {
    for (const [entry, bits] of entries) {
      const at = splitProgressEntry(entry);
      const job = this.term.jobs.get(at.job);
      if (job) job.applyStoredProgress(at.chunk, bits);
      else this.progress.forget(entry);
    }
  }
}
