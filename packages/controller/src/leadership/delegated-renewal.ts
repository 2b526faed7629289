/** Renewal of worker leases by a follower, on behalf of a leader that the workers can't reach. */
import {
  CommandBudget,
  renderHeartbeatResponse,
  splitTaskId,
  type Instant,
  type TaskStatus,
  type WorkerCommand,
  type WorkerHeartbeat,
} from '@tealdock/wire';
import type { Peers } from '../peers/peers.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { DelegationGrants, type DelegationGrant } from './delegation-grants.js';
import { JobLiveness, type ProveLiveness } from './job-liveness.js';
import type { Leadership } from './leadership.js';

/**
 * A leader without heartbeats for longer than this counts as unreachable. By then the leader key of
 * a crashed leader has usually expired, so one that still holds the key is probably alive.
 */
const LEADER_UNREACHABLE_AFTER_MS = 6500;

/** Response to a heartbeat. One that renews a lease may be sent only until `validUntil`. */
export type DelegatedResponse =
  { status: 200; body: unknown; validUntil: Instant } | { status: 421; body: unknown };

const REFUSAL: DelegatedResponse = { status: 421, body: {} };

/**
 * Renews worker leases while a network partition between zones separates the workers from a leader
 * that still leads. Under a grant this node answers heartbeats with the leader's fencing token. It
 * starts no tasks. Before each response, every job with a task on the worker must be proven live or
 * ended; the response stops the tasks of ended jobs.
 */
export class DelegatedRenewal {
  private readonly grants: DelegationGrants;
  private readonly jobLiveness: JobLiveness;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly peers: Peers,
    proveLiveness: ProveLiveness,
  ) {
    this.grants = new DelegationGrants(runtime, state, leadership);
    this.jobLiveness = new JobLiveness(runtime, proveLiveness);
  }

  /**
   * True while another member holds the leader key but has sent no heartbeats to this node for a
   * while. False if the newest call to the state service failed, or if the leader's host recently
   * refused a connection, which rules out a partition.
   */
  get mayRenew(): boolean {
    const { leader, leaderFencingToken } = this.leadership;
    if (leader === null || leaderFencingToken === null || this.state.lastCallFailed) return false;
    if (leader === this.runtime.settings.member || this.peers.hasRefusedConnectionRecently(leader))
      return false;
    return this.runtime.now - this.peers.lastHeartbeatAt(leader) > LEADER_UNREACHABLE_AFTER_MS;
  }

  /** Answers a heartbeat, with status 421 if no grant or no proof could be obtained. */
  renew(heartbeat: WorkerHeartbeat, onResponse: (response: DelegatedResponse) => void): void {
    this.grants.obtain((grant) => {
      if (!grant || heartbeat.fencingToken > grant.fencingToken) return onResponse(REFUSAL);
      this.renewUnder(grant, heartbeat, onResponse);
    });
  }

  private renewUnder(
    grant: DelegationGrant,
    heartbeat: WorkerHeartbeat,
    onResponse: (response: DelegatedResponse) => void,
  ): void {
    const activeTasks = heartbeat.tasks.filter((task) => task.state !== 'exited');
    const jobs = new Set(activeTasks.map(jobIdOf));
    this.jobLiveness.findEnded([...jobs], (result) => {
      if (result.kind === 'unknown') return onResponse(REFUSAL);
      const endedTasks = activeTasks.filter((task) => result.endedJobs.has(jobIdOf(task)));
      const stops = endedTasks.map(stopCommandFor);
      const budget = new CommandBudget();
      // A response that renews the lease must stop all tasks of ended jobs.
      if (!stops.every((stop) => budget.take(stop))) return onResponse(REFUSAL);
      this.runtime.stats.count('reports.kept');
      const body = renderHeartbeatResponse(grant.fencingToken, stops);
      onResponse({ status: 200, body, validUntil: grant.validUntil });
    });
  }
}

const jobIdOf = ({ task }: TaskStatus): string => splitTaskId(task)?.job ?? task;

/** Unlike a start, a stop of a task is safe without a leader, because the end of a job is final. */
const stopCommandFor = ({ task, attempt }: TaskStatus): WorkerCommand => ({
  op: 'stop',
  task,
  attempt,
  gracePeriod: 0,
});
