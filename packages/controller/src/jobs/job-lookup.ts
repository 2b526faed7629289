/** Lookups of single jobs in the state service, by a shared proof where possible, else a read. */
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
 * State of a job by its keys. `live`: with the version of its key, and with the value, null if that
 * can't be decoded. `none`: the job was never accepted. `unknown`: the lookup failed.
 */
export type JobLookupResult =
  | { kind: 'live'; value: LiveValue | null; version: number }
  | { kind: 'ended'; view: JobView }
  | { kind: 'none' }
  | { kind: 'unknown' };

/** As `JobLookupResult`, but without value and version for a job that was proven live. */
export type JobLocateResult = JobLookupResult | { kind: 'live' };

/** The final state of a job that has ended, otherwise the kind of the result. */
export type LookupOutcome = JobState | JobLocateResult['kind'];

/** Whether a job is live; `unknown` also for one that was never accepted. */
export type Liveness = 'live' | 'ended' | 'unknown';

/** Reduces the result of a lookup to its outcome. */
export const outcomeOf = (result: JobLocateResult): LookupOutcome =>
  result.kind === 'ended' ? result.view.state : result.kind;

/**
 * Looks jobs up by their keys. Each lookup asks the state service after the call, so that its
 * result is never older than the call. Only ended jobs are cached, since their state can't change.
 * No method throws; each lookup calls back once, immediately if the job is known to have ended.
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

  /** The final state of a job that has ended, if it is cached; otherwise undefined. */
  finalState(id: string): JobState | undefined {
    return this.endedJobs.get(id)?.state;
  }

  /** Ids of a live job's predecessors; undefined if no version of its live key is recorded. */
  predecessorsOf(id: string): string[] | undefined {
    return this.proofs.predecessorsOf(id);
  }

  /** Records the version of a job's live key that this node has committed or read. */
  recordLive(id: string, version: number, predecessors: string[]): void {
    this.proofs.recordVersion(id, version, predecessors);
  }

  /** Records an ended key that this node has committed or read; returns the job's final view. */
  recordEnded(id: string, state: EndedValue['state'], taskCount: number): JobView {
    const counts = state === 'done' ? { done: taskCount, running: 0 } : {};
    const view: JobView = { id, state, ...counts };
    this.proofs.forget(id);
    this.endedJobs.set(id, view);
    return view;
  }

  /** Looks the job up by a shared proof if the version of its key is known, else by a read. */
  locate(id: string, onResult: (result: JobLocateResult) => void): void {
    const isProofPending = this.proofs.request(id, (proof) => {
      if (proof === 'changed') this.read(id, onResult);
      else onResult(proof === 'live' ? { kind: 'live' } : { kind: 'unknown' });
    });
    if (!isProofPending) this.read(id, onResult);
  }

  /** Finds out whether the job was live at some time after the call, or has ended. */
  proveLiveness(id: string, onResult: (liveness: Liveness) => void): void {
    this.locate(id, ({ kind }) => onResult(kind === 'none' ? 'unknown' : kind));
  }

  /** Reads the live key and, if it is missing, the ended one: jobs only go from live to ended. */
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
