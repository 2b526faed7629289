/** The stored registry of machines that may have tasks, and the machines that have left it. */
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

/** Machines that join within this time share a commit. */
const JOIN_BATCH_DELAY_MS = 150;
/** Terminated machines that are remembered. */
const MAX_TERMINATED_COUNT = 5000;

/** An image that a machine is expected to have in its cache. */
export interface CachedImage {
  image: string;
  gb: number;
}

/**
 * A machine is stored in the registry before its first start, so that a later leader waits for
 * each machine that may have tasks (docs/safety.md, Rebuild).
 */
export class MachineRegistry {
  private readonly table: ShardedTable<RegistryEntry>;
  private readonly terminated = new BoundedSet<string>(MAX_TERMINATED_COUNT);
  private readonly hintedImages = new Map<string, CachedImage[]>();

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    leadership: Leadership,
    private readonly fleet: Fleet,
    private readonly bindings: Bindings,
  ) {
    this.table = new ShardedTable(runtime, state, leadership, {
      keyPrefix: REGISTRY_PREFIX,
      gatherTime: JOIN_BATCH_DELAY_MS,
      valuesDeferrable: false,
      onStored: (entries) => this.markRegistered(entries),
    });
  }

  /** Stops writing the registry. */
  close(): void {
    this.table.close();
  }

  /** Adds the machines that an earlier leader has stored to the fleet. */
  load(items: StateItem[]): void {
    for (const [id, entry] of this.table.load(items)) this.loadMachine(id, entry);
  }

  /** The last leader knew of these images on a machine; used when the machine is first seen. */
  hintImages(machineId: string, images: CachedImage[]): void {
    this.hintedImages.set(machineId, images);
  }

  /** Returns the machine; adds it if its heartbeat is the first that this term gets of it. */
  getOrAdd(id: string, place: MachinePool): Machine {
    let machine = this.fleet.get(id);
    if (!machine) {
      machine = this.newMachine(id, place);
      // It is not in the registry, so no term has ever sent a start to it.
      machine.registration.markReconciled();
      this.fleet.add(machine);
    }
    machine.registration.recordObserved(this.runtime.now);
    return machine;
  }

  /** Stores the machine unless that is done or under way. */
  registerIfNew(machine: Machine): void {
    if (!machine.registration.isRegistered && this.table.get(machine.id) === undefined)
      this.store(machine);
  }

  /** The machine gets no more work, in this term and, as that is stored, in later ones. */
  markReturning(machine: Machine): void {
    if (machine.registration.isReturning) return;
    machine.registration.markReturning();
    this.bindings.releaseUndispatched(machine);
    this.store(machine);
  }

  /** The cloud has confirmed with status 200 that the machine is gone, with all tasks on it. */
  recordTerminated(id: string): void {
    const machine = this.fleet.get(id);
    this.terminated.add(id);
    if (!machine) return;
    this.bindings.releaseUndispatched(machine);
    this.bindings.endDispatched(machine, 'returned to the cloud');
    this.fleet.remove(id);
    this.table.remove(id);
  }

  /** True for a machine that this term has returned to the cloud. */
  isTerminated(id: string): boolean {
    return this.terminated.has(id);
  }

  private newMachine(id: string, place: MachinePool): Machine {
    const machine = new Machine(id, place.type, place.zone, place.spot);
    for (const { image, gb } of this.hintedImages.get(id) ?? []) machine.recordImageUse(image, gb);
    return machine;
  }

  private loadMachine(id: string, entry: RegistryEntry): void {
    const [type, zone, spot, returning, firstObservedSeconds] = entry;
    const place = { type, zone, spot: spot === 1 };
    const machine = this.fleet.get(id) ?? this.newMachine(id, place);
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
