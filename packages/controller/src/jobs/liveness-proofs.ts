/** Proofs that jobs are live, one transaction for many questions. */
import type { Duration, Precondition } from '@tealdock/wire';
import { BoundedMap } from '../runtime/bounded.js';
import type { Runtime } from '../runtime/runtime.js';
import { specKey } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';

/** Questions that arrive within this time share a proof. */
const BATCH_DELAY_MS: Duration = 40;
/** Users give up a poll after 2 s. */
const COMPARE_TIMEOUT_MS: Duration = 1200;
/** The state service takes this many preconditions for each write that it takes. */
const PRECONDITIONS_PER_WRITE_COUNT = 4;
const MAX_TRACKED_JOB_COUNT = 5000;

/** `live`: the job's key still has the version that was known. `changed`: it has not. */
type LivenessProof = 'live' | 'changed' | 'unknown';

type OnProof = (proof: LivenessProof) => void;

/** A live job's key as this node last read or wrote it. */
interface TrackedKey {
  readonly version: number;
  readonly predecessors: string[];
}

/**
 * Questions about one job, with the version that its key had when the first of them came. The
 * job may be forgotten before the comparison: a key that is gone must not look the same.
 */
interface PendingProof {
  readonly job: string;
  readonly version: number;
  readonly callbacks: OnProof[];
}

/**
 * Proves for many questions at once that their jobs are live: a transaction without writes
 * compares the versions of their keys. It is sent after the questions have come, so its
 * result is never older than what any user was told before.
 */
export class LivenessProofs {
  private readonly trackedKeys = new BoundedMap<string, TrackedKey>(MAX_TRACKED_JOB_COUNT);
  private pending = new Map<string, PendingProof>();
  private isBatchScheduled = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
  ) {}

  /** The job's key was read or written by this node. */
  recordVersion(job: string, version: number, predecessors: string[]): void {
    this.trackedKeys.set(job, { version, predecessors });
  }

  /** The job's key is not known any more; proofs under way still compare the old version. */
  forget(job: string): void {
    this.trackedKeys.delete(job);
  }

  /** What a live job waits for; undefined if no version of its key is known. */
  predecessorsOf(job: string): string[] | undefined {
    return this.trackedKeys.get(job)?.predecessors;
  }

  /**
   * Calls back once, after the next batch. Returns false, and never calls back, if no version
   * of the job's key is known: the key has to be read.
   */
  request(job: string, onProof: OnProof): boolean {
    const version = this.trackedKeys.get(job)?.version;
    if (version === undefined) return false;
    const proof = this.pending.get(job) ?? { job, version, callbacks: [] };
    proof.callbacks.push(onProof);
    this.pending.set(job, proof);
    this.scheduleBatch();
    return true;
  }

  private scheduleBatch(): void {
    if (this.isBatchScheduled) return;
    this.isBatchScheduled = true;
    this.runtime.after(BATCH_DELAY_MS, () => {
      this.isBatchScheduled = false;
      this.provePending();
    });
  }

  private provePending(): void {
    const proofs = [...this.pending.values()];
    this.pending = new Map();
    const { maxTransactionWrites } = this.runtime.settings.state;
    const limit = maxTransactionWrites * PRECONDITIONS_PER_WRITE_COUNT;
    for (let at = 0; at < proofs.length; at += limit) this.compare(proofs.slice(at, at + limit));
  }

  private compare(batch: PendingProof[]): void {
    const preconditions: Precondition[] = batch.map(({ job, version }) => ({
      key: specKey(job),
      version,
    }));
    this.state.compare(preconditions, COMPARE_TIMEOUT_MS, (result) => {
      if (result.kind === 'equal') return finish(batch, 'live');
      if (result.kind === 'unknown') return finish(batch, 'unknown');
      const changedKeys = new Set(result.changedKeys);
      const changed = batch.filter(({ job }) => changedKeys.has(specKey(job)));
      const others = batch.filter(({ job }) => !changedKeys.has(specKey(job)));
      for (const { job } of changed) this.forget(job);
      finish(changed, 'changed');
      // The list of changed keys need not be complete, so the others are compared again.
      if (others.length > 0 && changed.length > 0) this.compare(others);
      else finish(others, 'unknown');
    });
  }
}

function finish(batch: PendingProof[], result: LivenessProof): void {
  for (const { callbacks } of batch) for (const onProof of callbacks) onProof(result);
}
