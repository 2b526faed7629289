/** What the state service says of single jobs, proven or read at the lowest cost. */
import { isJobId, predecessorsOf, type JobState, type JobView } from '@tealdock/wire';
import { BoundedMap } from '../runtime/bounded.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { endedKey, specKey } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { readEnded, readLive, type EndedValue, type LiveValue } from '../state/stored-values.js';
import { LivenessProofs } from './liveness-proofs.js';

/** Ended jobs whose final view is cached. */
const MAX_CACHED_JOB_COUNT = 2000;

/**
 * What the keys of a job say. `live`: with the value, null where it can't be decoded, and its
 * version. `none`: it was never accepted. `unknown`: the state service could not be asked.
 */
export type JobLookupResult =
  | { kind: 'live'; value: LiveValue | null; version: number }
  | { kind: 'ended'; view: JobView }
  | { kind: 'none' }
  | { kind: 'unknown' };

/** As `JobLookupResult`; a job that a proof has shown to be live comes without its value. */
export type JobLocateResult = JobLookupResult | { kind: 'live' };

/** How a job has ended, or the kind of result for any other. */
export type LookupOutcome = JobState | JobLocateResult['kind'];

/** `unknown` also for a job that was never accepted. */
export type Liveness = 'live' | 'ended' | 'unknown';

/** What one lookup has found, in one word. */
export const outcomeOf = (result: JobLocateResult): LookupOutcome =>
  result.kind === 'ended' ? result.view.state : result.kind;

/**
 * Looks jobs up by their keys, once it is asked for them: a result is never older than the
 * question. Only ended jobs are cached, since their state can't change. No method throws;
 * each calls back once, at once if the job is known to have ended.
 */
export class JobLookup {
  private readonly endedJobs = new BoundedMap<string, JobView>(MAX_CACHED_JOB_COUNT);
  private readonly proofs: LivenessProofs;

  constructor(
    runtime: Runtime,
    private readonly state: StateStore,
  ) {
    this.proofs = new LivenessProofs(runtime, state);
  }

  /** How a job has ended, where that is cached; undefined for any other. */
  finalState(id: string): JobState | undefined {
    return this.endedJobs.get(id)?.state;
  }

  /** What a live job waits for; undefined if this node has not read its key. */
  predecessorsOf(id: string): string[] | undefined {
    return this.proofs.predecessorsOf(id);
  }

  /** The job's key has this version: this node has committed it, or read it. */
  recordLive(id: string, version: number, predecessors: string[]): void {
    this.proofs.recordVersion(id, version, predecessors);
  }

  /** This node has committed the job's ended key, or read it. Returns the job's final view. */
  recordEnded(id: string, state: EndedValue['state'], taskCount: number): JobView {
    const counts = state === 'done' ? { done: taskCount, running: 0 } : {};
    const view: JobView = { id, state, ...counts };
    this.proofs.forget(id);
    this.endedJobs.set(id, view);
    return view;
  }

  /** By a proof shared with other callers if the job's version is known, else by a read. */
  locate(id: string, onResult: (result: JobLocateResult) => void): void {
    const isProofPending = this.proofs.request(id, (proof) => {
      if (proof === 'changed') this.read(id, onResult);
      else onResult(proof === 'live' ? { kind: 'live' } : { kind: 'unknown' });
    });
    if (!isProofPending) this.read(id, onResult);
  }

  /** Whether the job was live at some moment after the call, or has ended for good. */
  proveLiveness(id: string, onResult: (liveness: Liveness) => void): void {
    this.locate(id, ({ kind }) => onResult(kind === 'none' ? 'unknown' : kind));
  }

  /** Reads the live key, then the ended one: a job moves only from the one to the other. */
  read(id: string, onResult: (result: JobLookupResult) => void): void {
    const cached = this.endedJobs.get(id);
    if (cached) return onResult({ kind: 'ended', view: cached });
    if (!isJobId(id)) return onResult({ kind: 'none' });
    this.state.get(specKey(id), PRIORITY.user, (read) => {
      if (read.kind === 'failed') return onResult({ kind: 'unknown' });
      if (read.kind === 'missing') return this.readEndedKey(id, onResult);
      const { version } = read.item;
      // The key alone shows that the job is live, whether or not its value can be decoded.
      const value = this.state.decode(read.item, readLive);
      this.recordLive(id, version, value ? predecessorsOf(value.spec) : []);
      onResult({ kind: 'live', value, version });
    });
  }

  private readEndedKey(id: string, onResult: (result: JobLookupResult) => void): void {
    this.state.getValue(endedKey(id), readEnded, PRIORITY.user, (read) => {
      if (read.kind === 'failed') return onResult({ kind: 'unknown' });
      if (read.kind === 'missing') return onResult({ kind: 'none' });
      const { state, spec } = read.value;
      onResult({ kind: 'ended', view: this.recordEnded(id, state, spec.taskCount) });
    });
  }
}
