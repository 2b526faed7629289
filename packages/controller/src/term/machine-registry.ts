/** The stored registry of machines that may have tasks, and the set of terminated machines. */
import type { MachinePool } from '@tealdock/scheduler';
import { millisecondsOf, secondsOf, type StateItem } from '@tealdock/wire';
import type { Leadership } from '../leadership/leadership.js';
import { Machine } from '../machines/machine.js';
import { BoundedSet } from '../runtime/bounded.js';
import type { Runtime } from '../runtime/runtime.js';
import { REGISTRY_PREFIX } from '../state/keys.js';
import type { RegistryEntry } from '../state/stored-values.js';
import { ShardedTable } from '../state/sharded-table.js';
import type { StateStore } from '../state/state-store.js';
import type { Bindings } from './bindings.js';
import type { Fleet } from './fleet.js';

/** Machines that join within this time are stored in the same commit. */
const JOIN_BATCH_DELAY_MS = 150;
/** Limit on the number of terminated machines that are remembered. */
const MAX_TERMINATED_COUNT = 5000;

/** An image that a machine is expected to have in its cache. */
export interface CachedImage {
  image: string;
  gb: number;
}

/**
 * Stores each machine before the first start is dispatched to it, so that a later leader knows
 * all machines that may have tasks and waits for them (docs/safety.md, Rebuild).
 */
export class MachineRegistry {
  private readonly table: ShardedTable<RegistryEntry>;
  private readonly terminated = new BoundedSet<string>(MAX_TERMINATED_COUNT);
  private readonly imageHints = new Map<string, CachedImage[]>();

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    leadership: Leadership,
    private readonly fleet: Fleet,
    private readonly bindings: Bindings,
  ) {
    this.table = new ShardedTable(runtime, state, leadership, {
      keyPrefix: REGISTRY_PREFIX,
      batchDelay: JOIN_BATCH_DELAY_MS,
      valuesDeferrable: false,
      onStored: (entries) => this.markRegistered(entries),
    });
  }

  /** Stops writes to the registry. */
  close(): void {
    this.table.close();
  }

  /** Adds the machines that earlier leaders have stored to the fleet. */
  load(items: StateItem[]): void {
    for (const [id, entry] of this.table.load(items)) this.loadMachine(id, entry);
  }

  /** Sets the images that the previous leader expected in the cache of a machine not yet added. */
  setImageHints(machineId: string, images: CachedImage[]): void {
    this.imageHints.set(machineId, images);
  }

  /** Returns the machine that a heartbeat came from, and adds it to the fleet if it is unknown. */
  getOrAdd(id: string, pool: MachinePool): Machine {
    let machine = this.fleet.get(id);
    if (!machine) {
      machine = this.newMachine(id, pool);
      // The machine is not in the registry, so no term has ever sent a start to it.
      machine.registration.markReconciled();
      this.fleet.add(machine);
    }
    machine.registration.recordObserved(this.runtime.now);
    return machine;
  }

  /** Stores the machine unless it is stored or being stored already. */
  registerIfNew(machine: Machine): void {
    if (!machine.registration.isRegistered && this.table.get(machine.id) === undefined)
      this.store(machine);
  }

  /** Stops placement on the machine for good; later terms read that from the registry. */
  markReturning(machine: Machine): void {
    if (machine.registration.isReturning) return;
    machine.registration.markReturning();
    this.bindings.releaseUndispatched(machine);
    this.store(machine);
  }

  /** Removes a machine whose end, with all its tasks, the cloud has confirmed by status 200. */
  recordTerminated(id: string): void {
    const machine = this.fleet.get(id);
    this.terminated.add(id);
    if (!machine) return;
    this.bindings.releaseUndispatched(machine);
    this.bindings.endDispatched(machine, 'returned to the cloud');
    this.fleet.remove(id);
    this.table.remove(id);
  }

  /** True if the machine was returned to the cloud in this term. */
  isTerminated(id: string): boolean {
    return this.terminated.has(id);
  }

  private newMachine(id: string, pool: MachinePool): Machine {
    const machine = new Machine(id, pool.type, pool.zone, pool.spot);
    for (const { image, gb } of this.imageHints.get(id) ?? []) machine.recordImageUse(image, gb);
    return machine;
  }

  private loadMachine(id: string, entry: RegistryEntry): void {
    const [type, zone, spot, returning, firstObservedSeconds] = entry;
    const pool = { type, zone, spot: spot === 1 };
    const machine = this.fleet.get(id) ?? this.newMachine(id, pool);
    const ageMs = this.runtime.wallClock.getTime() - millisecondsOf(firstObservedSeconds);
    machine.registration.restore({
      isReturning: returning === 1,
      firstObservedAt: this.runtime.now - Math.max(0, ageMs),
      isReconciled: machine.heartbeats.lastCountedAt !== null,
    });
    this.fleet.add(machine);
  }

  private store(machine: Machine): void {
    const ageMs =
      this.runtime.now - Math.min(machine.registration.firstObservedAt, this.runtime.now);
    const firstObservedAtMs = this.runtime.wallClock.getTime() - ageMs;
    this.table.set(machine.id, [
      machine.type,
      machine.zone,
      machine.spot ? 1 : 0,
      machine.registration.isReturning ? 1 : 0,
      Math.round(secondsOf(firstObservedAtMs)),
    ]);
  }

  private markRegistered(entries: [string, RegistryEntry][]): void {
    for (const [id, [, , , returning]] of entries) {
      const machine = this.fleet.get(id);
      if (!machine) continue;
      machine.registration.recordRegistered(returning === 1);
      this.bindings.markDirtyIfUndispatched(id);
    }
  }
}
