/** Proofs that jobs are live, with one transaction for many requests. */
import type { Duration, Precondition } from '@tealdock/wire';
import { BoundedMap } from '../runtime/bounded.js';
import type { Runtime } from '../runtime/runtime.js';
import { specKey } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { PRECONDITIONS_PER_WRITE_COUNT } from '../state/transaction-budget.js';

/** Requests that arrive within this time share a transaction. */
const BATCH_DELAY_MS: Duration = 40;
/** Below the 2 s after which users give up a poll. */
const COMPARE_TIMEOUT_MS: Duration = 1200;
const MAX_TRACKED_JOB_COUNT = 5000;

/**
 * `live`: the job's live key still has the recorded version. `changed`: it has another version or
 * no longer exists. `unknown`: the comparison gave no result.
 */
type LivenessProof = 'live' | 'changed' | 'unknown';

type OnProof = (proof: LivenessProof) => void;

/** The live key of a job as this node last read or wrote it. */
interface TrackedKey {
  readonly version: number;
  readonly predecessors: string[];
}

/**
 * Requests about one job, with the version of its live key recorded at the first of them. It is
 * copied here since the job may be forgotten before the comparison, which would then expect no
 * key and take a removed one for unchanged.
 */
interface PendingProof {
  readonly job: string;
  readonly version: number;
  readonly callbacks: OnProof[];
}

/**
 * Proves in batches that jobs are live: a transaction without writes compares the versions of
 * their live keys. It is sent after the requests have arrived, so its result is never older
 * than any reply that a user received before.
 */
export class LivenessProofs {
  private readonly trackedKeys = new BoundedMap<string, TrackedKey>(MAX_TRACKED_JOB_COUNT);
  private pending = new Map<string, PendingProof>();
  private isBatchScheduled = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
  ) {}

  /** Records the version of a job's live key that this node has read or written. */
  recordVersion(job: string, version: number, predecessors: string[]): void {
    this.trackedKeys.set(job, { version, predecessors });
  }

  /** Drops the recorded version; proofs that were requested before still compare it. */
  forget(job: string): void {
    this.trackedKeys.delete(job);
  }

  /** Ids of the job's predecessors; undefined if no version of its live key is recorded. */
  predecessorsOf(job: string): string[] | undefined {
    return this.trackedKeys.get(job)?.predecessors;
  }

  /**
   * Requests a proof; calls back once, after the next batch. Returns false, and never calls back,
   * if no version of the job's live key is recorded: the caller has to read the key.
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
