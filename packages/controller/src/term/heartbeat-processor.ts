/** Decides which worker heartbeats are applied, and which commands each response carries. */
import type { WorkerCommand, WorkerHeartbeat } from '@tealdock/wire';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Bindings } from './bindings.js';
import type { MachineRegistry } from './machine-registry.js';
import type { TaskObserver } from './task-observer.js';
import type { TermStatus } from './term-view.js';
import type { WorkerCommands } from './worker-commands.js';

/**
 * A worker adopts the fencing token of the first response that it receives. If its heartbeats carry
 * an older token for longer than this, no responses reach it.
 */
const NO_RESPONSE_TIMEOUT_MS = 8000;

/**
 * Result of processing a heartbeat. `counted`: it carries this term's fencing token and is the
 * newest of its machine, so it was applied. `ignored`: it is outdated or carries another fencing
 * token, so its task list was not applied. Both are answered with status 200, which renews the
 * worker's lease. `unanswered`: it must not be answered with status 200.
 */
export type HeartbeatOutcome =
  | { kind: 'counted'; commands: WorkerCommand[] }
  | { kind: 'ignored'; commands: WorkerCommand[] }
  | { kind: 'unanswered' };

/** The parts of a term that a heartbeat may change. */
export interface HeartbeatTargets {
  readonly bindings: Bindings;
  readonly machineRegistry: MachineRegistry;
  readonly taskObserver: TaskObserver;
  readonly workerCommands: WorkerCommands;
}

/** Applies the newest heartbeat of each machine and ignores those that arrive out of order. */
export class HeartbeatProcessor {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermStatus,
    private readonly targets: HeartbeatTargets,
  ) {}

  /** Processes a heartbeat. Commands in the result must be sent, since they count as dispatched. */
  process(heartbeat: WorkerHeartbeat): HeartbeatOutcome {
    const { machineRegistry, workerCommands } = this.targets;
    if (machineRegistry.isTerminated(heartbeat.machine)) return { kind: 'unanswered' };
    const machine = machineRegistry.getOrAdd(heartbeat.machine, heartbeat);
    if (this.receivesNoResponses(machine, heartbeat)) return { kind: 'unanswered' };
    // The response renews the worker's lease even if the heartbeat is ignored.
    machine.heartbeats.recordLeaseRenewal(this.runtime.now);
    if (!this.isCurrent(machine, heartbeat)) {
      const commands = workerCommands.stopsForEndedJobs(machine.id, heartbeat.tasks);
      return commands ? { kind: 'ignored', commands } : { kind: 'unanswered' };
    }
    this.apply(machine, heartbeat);
    const commands = workerCommands.dispatchCommands(machine.id);
    return commands ? { kind: 'counted', commands } : { kind: 'unanswered' };
  }

  /**
   * False if the heartbeat's task list may be outdated: without this term's fencing token it may
   * lack a start that the previous term sent, and a late heartbeat is superseded by a newer one.
   */
  private isCurrent(machine: Machine, heartbeat: WorkerHeartbeat): boolean {
    return (
      heartbeat.fencingToken === this.term.fencingToken && machine.heartbeats.isNewer(heartbeat)
    );
  }

  /**
   * True if the machine's heartbeats still carry an older fencing token although they have been
   * answered with this term's token for some time, so the responses do not reach the machine.
   * Further responses would only make its lease look renewed and hold up all placement; without
   * them the lease expires.
   */
  private receivesNoResponses(machine: Machine, heartbeat: WorkerHeartbeat): boolean {
    if (machine.registration.isReconciled) return false;
    if (heartbeat.fencingToken === this.term.fencingToken) return false;
    return machine.heartbeats.recordOlderToken(this.runtime.now) > NO_RESPONSE_TIMEOUT_MS;
  }

  private apply(machine: Machine, heartbeat: WorkerHeartbeat): void {
    const { bindings, machineRegistry, taskObserver } = this.targets;
    if (heartbeat.agentEpoch > machine.heartbeats.agentEpoch)
      bindings.endDispatched(machine, 'session ended');
    machine.heartbeats.record(heartbeat, this.runtime.now);
    machine.registration.markReconciled();
    taskObserver.observe(machine, heartbeat.tasks);
    machineRegistry.registerIfNew(machine);
  }
}
