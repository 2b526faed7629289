/** Decides which worker heartbeats count, and what each is answered with. */
import type { WorkerCommand, WorkerHeartbeat } from '@tealdock/wire';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Bindings } from './bindings.js';
import type { MachineRegistry } from './machine-registry.js';
import type { TaskObserver } from './task-observer.js';
import type { TermStatus } from './term-view.js';
import type { WorkerCommands } from './worker-commands.js';

/** A worker adopts the fencing token of the first answer that it receives. */
const MISSED_ANSWERS_TIMEOUT_MS = 8000;

/**
 * What became of a heartbeat. `counted`: it was the newest of its machine, and is applied.
 * `ignored`: it is outdated or carries another fencing token, so that it changes nothing.
 * Both are answered, which renews the worker's lease. `unanswered`: it must not be.
 */
export type HeartbeatOutcome =
  | { kind: 'counted'; commands: WorkerCommand[] }
  | { kind: 'ignored'; commands: WorkerCommand[] }
  | { kind: 'unanswered' };

/** The parts of a term that heartbeats change. */
export interface HeartbeatTargets {
  readonly bindings: Bindings;
  readonly machineRegistry: MachineRegistry;
  readonly taskObserver: TaskObserver;
  readonly workerCommands: WorkerCommands;
}

/** Applies heartbeats in the order in which the workers sent them; outdated ones are ignored. */
export class HeartbeatProcessor {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermStatus,
    private readonly targets: HeartbeatTargets,
  ) {}

  /** Applies a heartbeat. Commands in the outcome must be sent, since they count as dispatched. */
  process(heartbeat: WorkerHeartbeat): HeartbeatOutcome {
    const { machineRegistry, workerCommands } = this.targets;
    if (machineRegistry.isTerminated(heartbeat.machine)) return { kind: 'unanswered' };
    const machine = machineRegistry.getOrAdd(heartbeat.machine, heartbeat);
    if (this.missesAnswers(machine, heartbeat)) return { kind: 'unanswered' };
    // The answer renews the lease, whether or not the heartbeat counts.
    machine.heartbeats.recordLeaseRenewal(this.runtime.now);
    if (!this.isCurrent(machine, heartbeat)) {
      const commands = workerCommands.stopsForEndedJobs(machine.id, heartbeat.tasks);
      return { kind: 'ignored', commands };
    }
    this.apply(machine, heartbeat);
    return { kind: 'counted', commands: workerCommands.dispatchCommands(machine.id) };
  }

  /**
   * The tasks of a heartbeat that was sent before the worker saw this term's fencing token may be
   * outdated by a start of the last term, those of a late one by a newer heartbeat.
   */
  private isCurrent(machine: Machine, heartbeat: WorkerHeartbeat): boolean {
    return (
      heartbeat.fencingToken === this.term.fencingToken && machine.heartbeats.isNewer(heartbeat)
    );
  }

  /**
   * True if the heartbeats still carry an older fencing token although they were answered under
   * this term's: answers don't reach the machine. Further ones would only make its lease look
   * renewed, and all placement would wait for it. Without answers its lease expires.
   */
  private missesAnswers(machine: Machine, heartbeat: WorkerHeartbeat): boolean {
    if (machine.registration.isReconciled) return false;
    if (heartbeat.fencingToken === this.term.fencingToken) return false;
    return machine.heartbeats.recordOlderToken(this.runtime.now) > MISSED_ANSWERS_TIMEOUT_MS;
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
