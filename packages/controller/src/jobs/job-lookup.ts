/** What the state service says of single jobs, read or proven at the lowest cost. */
import { isJobId, predecessorsOf, type JobState, type JobView } from '@tealdock/wire';
import { BoundedMap } from '../runtime/bounded.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { endedKey, specKey } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { readEnded, readLive, type EndedValue, type LiveValue } from '../state/stored-values.js';
import { LivenessProofs } from './liveness-proofs.js';

/** Final answers that are remembered. */
const MAX_CACHED = 2000;

/** What the state service says of a job; `unsure` when it can't be told. */
export type JobLookupResult =
  | { kind: 'live'; value: LiveValue | null; version: number }
  | { kind: 'ended'; view: JobView }
  | { kind: 'none' }
  | { kind: 'unsure' };

/** Without the value where a proof said that the job is live. */
export type JobLocateResult = JobLookupResult | { kind: 'live' };

/** `unsure` also for a job that was never accepted. */
export type Liveness = 'live' | 'ended' | 'unsure';

/**
 * Looks jobs up by their keys, after the question has come. Only final answers are cached,
 * since they can't change.
 */
export class JobLookup {
  private readonly ended = new BoundedMap<string, JobView>(MAX_CACHED);
  private readonly proofs: LivenessProofs;

  constructor(
    runtime: Runtime,
    private readonly state: StateStore,
  ) {
    this.proofs = new LivenessProofs(runtime, state);
  }

  /** How a job has ended, where that is known here. */
  finalState(id: string): JobState | undefined {
    return this.ended.get(id)?.state;
  }

  /** What a live job waits for, as far as this node has read its key. */
  predecessorsOf(id: string): string[] | undefined {
    return this.proofs.predecessorsOf(id);
  }

  /** This node has committed the job's key, or read it. */
  noteLive(id: string, version: number, predecessors: string[]): void {
    this.proofs.note(id, version, predecessors);
  }

  /** By a proof shared with others where the job is known to have been live, else by a read. */
  locate(id: string, done: (known: JobLocateResult) => void): void {
    const proven = this.proofs.ask(id, (proof) => {
      if (proof === 'changed') this.read(id, done);
      else done(proof === 'live' ? { kind: 'live' } : { kind: 'unsure' });
    });
    if (!proven) this.read(id, done);
  }

  /** Whether the job was live at some moment after this was asked, or is over for good. */
  prove(id: string, done: (proof: Liveness) => void): void {
    this.locate(id, ({ kind }) => done(kind === 'none' ? 'unsure' : kind));
  }

  /** Live first, then ended: a job moves only from the one to the other. */
  read(id: string, done: (known: JobLookupResult) => void): void {
    const cached = this.ended.get(id);
    if (cached) return done({ kind: 'ended', view: cached });
    if (!isJobId(id)) return done({ kind: 'none' });
    this.state.get(specKey(id), PRIORITY.user, (got) => {
      if (got.kind === 'failed') return done({ kind: 'unsure' });
      if (got.kind === 'missing') return this.lookEnded(id, done);
      const { version } = got.item;
      // Known by its key, also where the value can't be read.
      const value = this.state.decode(got.item, readLive);
      this.noteLive(id, version, value ? predecessorsOf(value.spec) : []);
      done({ kind: 'live', value, version });
    });
  }

  private lookEnded(id: string, done: (known: JobLookupResult) => void): void {
    this.state.getValue(endedKey(id), readEnded, PRIORITY.user, (got) => {
      if (got.kind === 'failed') return done({ kind: 'unsure' });
      if (got.kind === 'missing') return done({ kind: 'none' });
      const { state, spec } = got.value;
      done({ kind: 'ended', view: this.noteEnded(id, state, spec.taskCount) });
    });
  }

  /** Its ended key was read, or committed by this node. */
  noteEnded(id: string, state: EndedValue['state'], tasks: number): JobView {
    const counts = state === 'done' ? { done: tasks, running: 0 } : {};
    const view: JobView = { id, state, ...counts };
    this.proofs.forget(id);
    this.ended.set(id, view);
    return view;
  }
}
