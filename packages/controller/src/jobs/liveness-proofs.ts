/** Proofs that jobs are live, shared by many polls. */
import type { Precondition } from '@tealdock/wire';
import { specKey } from '../state/keys.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { BoundedMap } from '../runtime/bounded.js';

/** Polls that arrive within this time share a proof. */
const GATHER = 40;
const MOST_KNOWN = 5000;
/** A transaction may have this many times as many conditions as changes. */
const GUARDS_A_WRITE = 4;
/** Users give a poll up after 2 s. */
const TIMEOUT = 1200;

/** `live`: its key still had the version known. `changed`: it had not. */
export type Proof = 'live' | 'changed' | 'unsure';

interface Known {
  version: number;
  predecessors: string[];
}

/**
 * Polls about one job, and the version that its key had when the first of them came. The
 * job may be forgotten before they are compared: a key that is gone must not look the same.
 */
interface PendingProof {
  job: string;
  version: number;
  polls: ((proof: Proof) => void)[];
}

/**
 * Proves for many polls at once that their jobs are live: one transaction without
 * changes compares the versions of their keys. It is sent after the polls have
 * arrived, so its answer is never older than what any user was told before.
 */
export class LivenessProofs {
  /** Live jobs' keys, as this node last read or wrote them. */
  private readonly known = new BoundedMap<string, Known>(MOST_KNOWN);
  private waiting = new Map<string, PendingProof>();
  private planned = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
  ) {}

  note(job: string, version: number, predecessors: string[]): void {
    this.known.set(job, { version, predecessors });
  }

  forget(job: string): void {
    this.known.delete(job);
  }

  /** What a live job waits for, as far as this node has read its key. */
  predecessorsOf(job: string): string[] | undefined {
    return this.known.get(job)?.predecessors;
  }

  /** False where no version is known, so that the key has to be read. */
  ask(job: string, done: (proof: Proof) => void): boolean {
    const version = this.known.get(job)?.version;
    if (version === undefined) return false;
    const asked = this.waiting.get(job) ?? { job, version, polls: [] };
    asked.polls.push(done);
    this.waiting.set(job, asked);
    this.plan();
    return true;
  }

  private plan(): void {
    if (this.planned) return;
    this.planned = true;
    this.runtime.after(GATHER, () => {
      this.planned = false;
      this.prove();
    });
  }

  private prove(): void {
    const all = [...this.waiting.values()];
    this.waiting = new Map();
    const most = this.runtime.settings.state.maxTransactionWrites * GUARDS_A_WRITE;
    for (let at = 0; at < all.length; at += most) this.compare(all.slice(at, at + most));
  }

  private compare(batch: PendingProof[]): void {
    const guards: Precondition[] = batch.map(({ job, version }) => ({
      key: specKey(job),
      version,
    }));
    this.state.compare(guards, TIMEOUT, (compared) => {
      if (compared.kind === 'equal') return this.settle(batch, 'live');
      if (compared.kind === 'unknown') return this.settle(batch, 'unsure');
      const changed = new Set(compared.changedKeys);
      const gone = batch.filter(({ job }) => changed.has(specKey(job)));
      const rest = batch.filter(({ job }) => !changed.has(specKey(job)));
      for (const { job } of gone) this.forget(job);
      this.settle(gone, 'changed');
      // Nothing says that the list of what failed is whole: the others are asked again.
      if (rest.length > 0 && gone.length > 0) this.compare(rest);
      else this.settle(rest, 'unsure');
    });
  }

  private settle(batch: PendingProof[], proof: Proof): void {
    for (const { polls } of batch) for (const done of polls) done(proof);
  }
}
