/** Catalog of the machine types that the cloud offers. */
import {
  CATALOG_PATH,
  parseCatalog,
  type Duration,
  type MachineType,
  type Write,
} from '@tealdock/wire';
import type { Leadership } from '../leadership/leadership.js';
import { parseResponse } from '../runtime/call-results.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { CATALOG_PREFIX, typeKey } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { readMachineType, type StoredMachineType } from '../state/stored-values.js';
import { TransactionBudget } from '../state/transaction-budget.js';

const REFRESH_INTERVAL_MS: Duration = 30_000;
const RETRY_DELAY_MS: Duration = 2000;
const CLOUD_CALL_TIMEOUT_MS: Duration = 2500;

/**
 * Machine types as the cloud last listed them. The leader stores them in the state service, so
 * that a node that starts during an outage of the cloud can check submissions.
 */
export class Catalog {
  private currentTypes: MachineType[] = [];
  private areAllTypesKnown = false;
  /** Fingerprint of the types that this node has stored as leader; empty before the first time. */
  private storedFingerprint = '';

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
  ) {}

  /** False until the types have been read from the cloud or from the state service. */
  get isLoaded(): boolean {
    return this.currentTypes.length > 0;
  }

  /** False while there may be types that this node does not know, so that it can refuse no job. */
  get isComplete(): boolean {
    return this.areAllTypesKnown;
  }

  /** Empty until the catalog is loaded. */
  get types(): MachineType[] {
    return this.currentTypes;
  }

  /** Reads the cloud's types at regular intervals, and the stored ones until any are known. */
  start(): void {
    this.readStored();
    this.refresh();
  }

  private refresh(): void {
    const call = {
      target: 'cloud' as const,
      to: '',
      method: 'GET',
      path: CATALOG_PATH,
      body: null,
      priority: PRIORITY.background,
      writeCount: 0,
      timeout: CLOUD_CALL_TIMEOUT_MS,
    };
    this.runtime.call(call, (result) => {
      const types = parseResponse(result, parseCatalog);
      if (types && types.length > 0) this.update(types);
      this.runtime.after(types ? REFRESH_INTERVAL_MS : RETRY_DELAY_MS, () => this.refresh());
    });
  }

  private update(types: MachineType[]): void {
    this.currentTypes = types;
    this.areAllTypesKnown = true;
    if (!this.leadership.validLease()) return;
    const fingerprint = fingerprintOf(types);
    if (fingerprint !== this.storedFingerprint) this.store(types, fingerprint);
  }

  /** Stores the types that follow the first `storedCount`, in as many transactions as they need. */
  private store(types: MachineType[], fingerprint: string, storedCount = 0): void {
    const budget = new TransactionBudget(this.runtime.settings.state);
    const preconditions = [this.leadership.leaderPrecondition()];
    budget.take(preconditions, []);
    const writes: Write[] = [];
    for (const type of types.slice(storedCount)) {
      const value = { ...type, catalog: { fingerprint, typeCount: types.length } };
      const write: Write = { put: typeKey(type.name), value };
      if (!budget.take([], [write])) break;
      writes.push(write);
    }
    this.state.compareAndSwap(preconditions, writes, PRIORITY.background, (commit) => {
      if (commit.kind !== 'ok' || !this.leadership.validLease()) return;
      const count = storedCount + writes.length;
      if (count === types.length) this.storedFingerprint = fingerprint;
      else if (writes.length > 0) this.store(types, fingerprint, count);
    });
  }

  private readStored(): void {
    this.state.readAll(CATALOG_PREFIX, PRIORITY.leader, (read) => {
      if (this.isLoaded) return;
      if (read.kind === 'failed' || read.items.length === 0)
        return this.runtime.after(RETRY_DELAY_MS, () => this.readStored());
      const types = read.items.flatMap((item) => this.state.decode(item, readMachineType) ?? []);
      this.currentTypes = types;
      this.areAllTypesKnown = containsWholeCatalog(types);
    });
  }
}

/**
 * Identifies the offered types by name, CPUs, memory and zones; the types are stored again when it
 * changes. Prices are left out, since they change too often to be stored.
 */
function fingerprintOf(types: MachineType[]): string {
  return types.map((t) => `${t.name}:${t.cpus}:${t.memoryGb}:${t.zones.join()}`).join();
}

/** Whether some catalog is stored whole: a leader may have ended before it had stored all types. */
function containsWholeCatalog(types: StoredMachineType[]): boolean {
  return types.some(({ catalog }) => {
    const stored = types.filter((type) => type.catalog?.fingerprint === catalog?.fingerprint);
    return catalog !== undefined && stored.length === catalog.typeCount;
  });
}
