/** Renewal of workers' leases by a follower, for a leader that the workers can't reach. */
import {
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

/** How long a leader's heartbeats must be missing; a dead one's key is mostly gone by then. */
const LEADER_UNREACHABLE_AFTER_MS = 6500;

/** The answer to a heartbeat, and the instant up to which it may be sent. */
export type DelegatedResponse =
  { status: 200; body: unknown; validUntil: Instant } | { status: 421; body: unknown };

const REFUSAL: DelegatedResponse = { status: 421, body: {} };

/**
 * Renews workers' leases while a network partition between zones separates them from a leader
 * that still leads. Under a grant this node answers heartbeats with the leader's fencing token.
 * It starts no tasks. Every task of such a worker is of a job that was proven live just now,
 * or is stopped by the same answer.
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

  /** The leader key is held by another member whose heartbeats have been missing for a while. */
  get mayRenew(): boolean {
    const { leader, leaderFencingToken } = this.leadership;
    if (leader === null || leaderFencingToken === null || this.state.lastCallFailed) return false;
    if (leader === this.runtime.settings.member || this.peers.hasRefusedConnectionRecently(leader))
      return false;
    return this.runtime.now - this.peers.lastHeartbeatAt(leader) > LEADER_UNREACHABLE_AFTER_MS;
  }

  /** Answers a heartbeat, with a 421 where no grant or no proof could be obtained. */
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
    const presentTasks = heartbeat.tasks.filter((task) => task.state !== 'exited');
    const jobs = new Set(presentTasks.map(jobIdOf));
    this.jobLiveness.findEnded([...jobs], (result) => {
      if (result.kind === 'unknown') return onResponse(REFUSAL);
      this.runtime.stats.count('reports.kept');
      const endedTasks = presentTasks.filter((task) => result.endedJobs.has(jobIdOf(task)));
      const body = renderHeartbeatResponse(grant.fencingToken, endedTasks.map(stopCommandFor));
      onResponse({ status: 200, body, validUntil: grant.validUntil });
    });
  }
}

const jobIdOf = ({ task }: TaskStatus): string => splitTaskId(task)?.job ?? task;

/** A stop needs no leader, unlike a start: a job that has ended stays so. */
const stopCommandFor = ({ task, attempt }: TaskStatus): WorkerCommand => ({
  op: 'stop',
  task,
  attempt,
  gracePeriod: 0,
});
