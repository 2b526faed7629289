/** Which machines belong to the fleet: the registry in the state service, and what has gone. */
import type { Leadership } from '../leadership/leadership.js';
import type { Place } from '@tealdock/scheduler';
import { Machine } from '../machines/machine.js';
import { BoundedSet } from '../runtime/bounded.js';
import type { Runtime } from '../runtime/runtime.js';
import { REGISTRY_PREFIX } from '../state/keys.js';
import type { RegistryEntry } from '../state/stored-values.js';
import { ShardedTable } from '../state/sharded-table.js';
import type { StateStore } from '../state/state-store.js';
import type { Bindings } from './bindings.js';
import type { TermState } from './term-state.js';

/** Machines that join within this time share a commit. */
const JOIN_GATHER = 150;
/** Machines that are gone and still remembered. */
const MAX_GONE = 5000;

/**
 * Machines that may have tasks stand in the registry before their first start, so that a
 * later leader waits for each of them (docs/safety.md, Rebuild).
 */
export class Membership {
  readonly registry: ShardedTable<RegistryEntry>;
  private readonly gone = new BoundedSet<string>(MAX_GONE);

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    leadership: Leadership,
    private readonly term: TermState,
    private readonly bindings: Bindings,
  ) {
    this.registry = new ShardedTable(runtime, state, leadership, {
      keyPrefix: REGISTRY_PREFIX,
      gatherTime: JOIN_GATHER,
      valuesDeferrable: false,
      onStored: (entries) => this.enrolled(entries),
    });
  }

  newMachine(id: string, place: Place): Machine {
    const machine = new Machine(id, place.type, place.zone, place.spot);
    for (const { image, gb } of this.term.hintedImages.get(id) ?? [])
      machine.recordImageUse(image, gb);
    return machine;
  }

  /** The registry gets a machine before the machine gets its first start. */
  registerIfNew(machine: Machine): void {
    if (!machine.registration.isRegistered && this.registry.get(machine.id) === undefined)
      this.enroll(machine);
  }

  private enroll(machine: Machine): void {
    const age = this.runtime.now - Math.min(machine.registration.firstObservedAt, this.runtime.now);
    const since = Math.round((this.runtime.wallClock.getTime() - age) / 1000);
    this.registry.set(machine.id, [
      machine.type,
      machine.zone,
      machine.spot ? 1 : 0,
      machine.registration.isReturning ? 1 : 0,
      since,
    ]);
  }

  private enrolled(entries: [string, RegistryEntry][]): void {
    for (const [id, entry] of entries) {
      const machine = this.term.machines.get(id);
      if (!machine) continue;
      machine.registration.recordRegistered(entry[3] === 1);
      if (this.bindings.hasUndispatched(id)) this.term.dirtyMachines.add(id);
    }
  }

  /** Gets no more work; kept in the machine registry too, so that no later term gives it any. */
  markReturning(machine: Machine): void {
    if (machine.registration.isReturning) return;
    machine.registration.markReturning();
    this.bindings.releaseUndispatched(machine);
    this.enroll(machine);
  }

  /** The cloud answered 200 to its return: the machine and all on it are gone. */
  recordTerminated(id: string): void {
    const machine = this.term.machines.get(id);
    this.gone.add(id);
    if (!machine) return;
    this.bindings.releaseUndispatched(machine);
    this.bindings.endDispatched(machine, 'returned to the cloud');
    this.term.machines.delete(id);
    this.registry.remove(id);
  }

  isTerminated(id: string): boolean {
    return this.gone.has(id);
  }
}
