/** Returns of machines to the cloud. */
import { MAX_RETURN_COUNT, RETURN_PATH, renderReturn } from '@tealdock/wire';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { CloudCalls } from './cloud-calls.js';
import type { MachineInventory } from './machine-inventory.js';
import type { ReturnRules } from './return-rules.js';

/** Returns machines to the cloud, each only once no later term can give it work. */
export class MachineReturns {
  private isCallPending = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly rules: ReturnRules,
    private readonly cloud: CloudCalls,
    private readonly inventory: MachineInventory,
  ) {}

  /**
   * Returns the machines that the rules select. A machine that may have had work is first marked
   * as returning in the machine registry, so that no later term gives it work.
   */
  scaleIn(): void {
    if (!this.term.stateLoaded) return;
    for (const machine of this.rules.machinesToReturn()) {
      const { id, type, spot } = machine;
      this.runtime.log('info', { machine: id, type, spot }, 'scale-in requested');
      this.term.machineRegistry.markReturning(machine);
    }
    if (this.isCallPending) return;
    const ids = new Set([...this.markedMachines(), ...this.rules.neverUsedMachines()]);
    if (ids.size > 0) this.send([...ids].slice(0, MAX_RETURN_COUNT));
  }

  private markedMachines(): string[] {
    return [...this.term.machines.values()]
      .filter(({ registration }) => registration.isReturning && registration.isReturnCommitted)
      .map(({ id }) => id);
  }

  private send(ids: string[]): void {
    this.isCallPending = true;
    const body = renderReturn(ids);
    const call = { method: 'POST', path: RETURN_PATH, body, priority: PRIORITY.leader };
    this.cloud.send(call, (result) => {
      this.isCallPending = false;
      if (result.kind !== 'answer' || result.status !== 200) return;
      this.runtime.log('info', { machines: ids }, 'scale-in confirmed');
      for (const id of ids) {
        this.term.machineRegistry.recordTerminated(id);
        this.inventory.remove(id);
      }
    });
  }
}
