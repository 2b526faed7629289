import type { Guard, Write } from '@tealdock/wire';
import { chunkKey, endedKey, specKey, type EndedValue } from './keys.js';
import type { Leadership } from './leadership.js';
import type { LiveJob } from './live-job.js';
import { PRIORITY } from './ports.js';
import type { Runtime } from './runtime.js';
import type { StateStore } from './state-store.js';
import type { Term } from './term.js';

const FLUSH_EVERY = 250;
/** Writes a flush may spend on counts that are only for display. */
const DISPLAY_WRITES = 2;
const DISPLAY_EVERY = 2000;

/** The change that one job asks for, and what to do once it is committed. */
interface Change {
  guard: Guard;
  writes: Write[];
  done: () => void;
}

/**
 * Commits what tasks have completed, in batches, before it is told to users and
 * before a worker is told to forget. A job whose tasks are all done moves from
 * the live keys to the ended ones in one transaction; the version of its spec
 * decides between that and a cancellation.
 */
export class Completer {
  private busy = false;
  private lastDisplay = 0;

  constructor(
    private readonly rt: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly term: Term,
  ) {}

  start(): void {
    this.rt.every(FLUSH_EVERY, () => {
      if (!this.term.closed) this.flush();
      return !this.term.closed;
    });
  }

  private flush(): void {
    if (this.busy || !this.term.loaded || !this.leadership.held()) return;
    const batch = this.fill(this.changes());
    if (batch.length === 0) return this.removeOrphans();
    this.busy = true;
    const guards = [this.leadership.guard(), ...batch.map((c) => c.guard)];
    const writes = batch.flatMap((c) => c.writes);
    this.state.commit(guards, writes, PRIORITY.leader, (committed) => {
      this.busy = false;
      if (committed.kind === 'ok') for (const c of batch) c.done();
      else if (committed.kind === 'conflict') this.reconcile(batch);
    });
  }

  /** Progress of jobs that have ended, a few keys at a time when nothing else is to be done. */
  private removeOrphans(): void {
    const keys = this.term.orphans.splice(0, DISPLAY_WRITES);
    if (keys.length === 0) return;
    this.busy = true;
    const writes = keys.map((key) => ({ remove: key }));
    this.state.commit([this.leadership.guard()], writes, PRIORITY.background, (committed) => {
      this.busy = false;
      if (committed.kind !== 'ok') this.term.orphans.push(...keys);
    });
  }

  private changes(): Change[] {
    const changes: Change[] = [];
    for (const job of this.term.jobs.values()) {
      if (job.complete) changes.push(this.ending(job));
      else for (const chunk of job.dirtyChunks()) changes.push(this.progress(job, chunk));
    }
    if (changes.length === 0) changes.push(...this.display());
    return changes;
  }

  /** As many changes as one transaction takes. */
  private fill(changes: Change[]): Change[] {
    const batch: Change[] = [];
    let writes = 0;
    for (const change of changes) {
      writes += change.writes.length;
      if (writes > this.rt.settings.state.txnOps) break;
      batch.push(change);
    }
    return batch;
  }

  private ending(job: LiveJob): Change {
    const value: EndedValue = { state: 'done', spec: job.spec };
    const room = this.rt.settings.state.txnOps - 2;
    // Chunks that do not fit into the transaction are removed afterwards.
    const chunks = [...job.storedChunks].slice(0, room);
    return {
      guard: { key: specKey(job.id), version: job.version },
      writes: [
        { put: endedKey(job.id), value },
        { remove: specKey(job.id) },
        ...chunks.map((c) => ({ remove: chunkKey(job.id, c) })),
      ],
      done: () => {
        this.term.endJob(job.id);
        const rest = [...job.storedChunks].slice(room);
        this.term.orphans.push(...rest.map((c) => chunkKey(job.id, c)));
      },
    };
  }

  private progress(job: LiveJob, chunk: number): Change {
    const covered = [...job.uncommitted];
    const value = job.chunkValue(chunk);
    return {
      guard: { key: specKey(job.id), version: job.version },
      writes: [{ put: chunkKey(job.id, chunk), value }],
      done: () => {
        job.storedChunks.add(chunk);
        if (chunk === 0) job.shownRunning = value.running;
        for (const i of covered) if (job.chunkOf(i) === chunk) job.uncommitted.delete(i);
      },
    };
  }

  /** Counts of running tasks, when nothing else wants to be written. */
  private display(): Change[] {
    if (this.rt.now - this.lastDisplay < DISPLAY_EVERY) return [];
    this.lastDisplay = this.rt.now;
    return [...this.term.jobs.values()]
      .filter((job) => job.running !== job.shownRunning)
      .slice(0, DISPLAY_WRITES)
      .map((job) => this.progress(job, 0));
  }

  /**
   * Some job of the batch has ended, or leadership is gone. Whoever ended the
   * job wrote its ended key, also when an earlier commit of ours got no answer.
   */
  private reconcile(batch: Change[]): void {
    for (const change of batch) {
      const job = [...this.term.jobs.values()].find((j) => specKey(j.id) === change.guard.key);
      if (!job) continue;
      this.state.get(endedKey(job.id), PRIORITY.leader, (got) => {
        if (got.kind === 'found') this.term.endJob(job.id);
      });
    }
  }
}
