/** State of one machine that its worker's heartbeats have reported in this term. */
import {
  taskBytesBesideExited,
  type Duration,
  type Instant,
  type TaskStatus,
  type WorkerHeartbeat,
} from '@tealdock/wire';

/** Heartbeats of one machine. A heartbeat counts only if it is newer than all counted before. */
export class MachineHeartbeats {
  private newestAgentEpoch = 0;
  private newestSequenceNumber = -1;
  private newestAddress = '';
  private newestExitedTasks: readonly TaskStatus[] = [];
  private newestPreemptionDeadline: Instant | null = null;
  private countedAt: Instant | null = null;
  private leaseRenewedAt: Instant | null = null;
  private olderTokenSince: Instant | null = null;

  constructor(private newestTaskBytes: number) {}

  /** Agent epoch of the newest counted heartbeat; 0 before the first. */
  get agentEpoch(): number {
    return this.newestAgentEpoch;
  }

  /** Number of the newest counted heartbeat within its agent epoch; -1 before the first. */
  get sequenceNumber(): number {
    return this.newestSequenceNumber;
  }

  /** Address for direct commands to the worker; empty before the first counted heartbeat. */
  get address(): string {
    return this.newestAddress;
  }

  /** Exited tasks in the newest counted heartbeat. */
  get exitedTasks(): readonly TaskStatus[] {
    return this.newestExitedTasks;
  }

  /** Bytes that tasks which have not exited may take in the machine's next heartbeats. */
  get taskBytes(): number {
    return this.newestTaskBytes;
  }

  /** When the cloud preempts the machine; null without a preemption notice. */
  get preemptionDeadline(): Instant | null {
    return this.newestPreemptionDeadline;
  }

  /** Arrival of the newest counted heartbeat; null before the first. */
  get lastCountedAt(): Instant | null {
    return this.countedAt;
  }

  /** Arrival of the newest heartbeat that was answered with 200 in this term; null without one. */
  get lastLeaseRenewalAt(): Instant | null {
    return this.leaseRenewedAt;
  }

  /** True for a heartbeat newer than any counted one. */
  isNewer({ agentEpoch, sequenceNumber }: WorkerHeartbeat): boolean {
    if (agentEpoch !== this.newestAgentEpoch) return agentEpoch > this.newestAgentEpoch;
    return sequenceNumber > this.newestSequenceNumber;
  }

  /** Counts a heartbeat; to be called only if it is newer than any counted one. */
  record(heartbeat: WorkerHeartbeat, now: Instant): void {
    const { preemptionNotice, tasks } = heartbeat;
    this.newestAgentEpoch = heartbeat.agentEpoch;
    this.newestSequenceNumber = heartbeat.sequenceNumber;
    this.newestAddress = heartbeat.address;
    this.countedAt = now;
    this.newestPreemptionDeadline = preemptionNotice === null ? null : now + preemptionNotice;
    this.newestTaskBytes = taskBytesBesideExited(heartbeat);
    this.newestExitedTasks = tasks.filter((task) => task.state === 'exited');
  }

  /** Records that a heartbeat is answered with 200, which renews the worker's lease. */
  recordLeaseRenewal(now: Instant): void {
    this.leaseRenewedAt = now;
  }

  /** Records a heartbeat with an older term's token; returns the time since the first such one. */
  recordOlderToken(now: Instant): Duration {
    this.olderTokenSince ??= now;
    return now - this.olderTokenSince;
  }
}
