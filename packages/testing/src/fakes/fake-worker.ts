/** In-memory stand-in for a worker. */
import type { CallResult } from '@tealdock/controller';
import type { CloudMachine } from './fake-cloud.js';
import type {
  WireCommand,
  WireCommands,
  WireHeartbeatResponse,
  WorkerHost,
  WorkerTask,
} from './worker-protocol.js';

/** Without a response within this time, a worker sends its heartbeats to the next node. */
const RESPONSE_TIMEOUT_MS = 4000;

/**
 * A worker that follows the protocol: it has one heartbeat in flight at a time, rejects commands
 * with an outdated fencing token or of another agent epoch, and ends all its tasks when its lease
 * expires.
 */
export class FakeWorker {
  tasks: WorkerTask[] = [];
  /** Increases with each reboot and each expiry of the lease. */
  agentEpoch = 1;
  /** Number of the last heartbeat or state response. */
  sequenceNumber = 0;
  /** The largest fencing token received. */
  fencingToken = 0;
  /** Preemption notice of the cloud: seconds until the machine is reclaimed; null without one. */
  reclaimWarningSeconds: number | null = null;
  /** The machine has been terminated: it sends no heartbeats and ignores responses. */
  isTerminated = false;
  /**
   * The machine makes no progress and sends nothing; received commands are buffered, as in its
   * sockets, and responses to heartbeats are lost.
   */
  isHung = false;
  private readonly pendingCommands: (() => void)[] = [];
  /** The node to which heartbeats are sent, as an index into `nodeNames`. */
  private nodeIndex = 0;
  private nextHeartbeatAt = 0;
  /** Start of the lease: when the last accepted heartbeat was sent, or when the epoch started. */
  private leaseRenewedAt: number;
  private inFlight: { sentAt: number; agentEpoch: number; id: number } | null = null;
  private lastHeartbeatId = 0;
  /** Whether a change must still be reported by a heartbeat. */
  private hasUnsentChange = false;
  private readonly cachedImages = new Set<string>();
  /** GB fetched so far of each image that a task waits for. */
  private readonly fetchedGb = new Map<string, number>();
  private lastTickAt: number;

  constructor(
    private readonly host: WorkerHost,
    readonly machine: CloudMachine,
  ) {
    this.leaseRenewedAt = this.lastTickAt = host.now();
    this.nodeIndex = machine.id.charCodeAt(machine.id.length - 1) % host.nodeNames.length;
  }

  tick(): void {
    if (this.isTerminated) return;
    const now = this.host.now();
    // The lease also expires while the machine hangs: its tasks may not resume afterwards.
    if (now - this.leaseRenewedAt > this.host.leaseDuration) this.startNewEpoch(now);
    const elapsed = now - this.lastTickAt;
    this.lastTickAt = now;
    if (this.isHung) return this.postponeEnds(elapsed);
    for (const execute of this.pendingCommands.splice(0)) execute();
    this.advanceFetches(elapsed / 1000);
    this.finishTasks(now);
    if (this.inFlight && now - this.inFlight.sentAt > RESPONSE_TIMEOUT_MS) this.tryNextNode();
    if (!this.inFlight && now >= this.nextHeartbeatAt) this.sendHeartbeat(now);
  }

  /** Postpones the ends of running tasks, which make no progress while the machine hangs. */
  private postponeEnds(elapsed: number): void {
    for (const t of this.tasks) if (t.status === 'running') t.endsAt += elapsed;
  }

  /** Handles `POST /commands` in the next tick in which the machine does not hang. */
  receiveCommands(body: WireCommands, done: (r: CallResult) => void): void {
    this.pendingCommands.push(() => done(this.executeCommands(body)));
  }

  /**
   * Executes the commands of an answer again, as a late copy of it would; its heartbeat was sent in
   * this agent epoch. As with the answer itself, an outdated token or epoch makes it invalid, but the
   * copy does not renew the lease.
   */
  receiveAnswerCopy({ fence = -1, orders = [] }: WireHeartbeatResponse, agentEpoch: number): void {
    if (this.isTerminated || fence < this.fencingToken || agentEpoch !== this.agentEpoch) return;
    for (const order of orders) this.execute(order);
    if (this.hasUnsentChange) this.scheduleHeartbeatSoon();
  }

  private executeCommands({ fence, shift, orders }: WireCommands): CallResult {
    if (fence === undefined || shift === undefined) return this.stateResponse(400);
    if (fence < this.fencingToken || shift !== this.agentEpoch) return this.stateResponse(409);
    this.fencingToken = fence;
    for (const order of orders ?? []) this.execute(order);
    if (this.hasUnsentChange) this.scheduleHeartbeatSoon();
    return this.stateResponse(200);
  }

  /** A response with the same body as a heartbeat. */
  private stateResponse(status: number): CallResult {
    return { kind: 'answer', status, body: this.heartbeatBody() };
  }

  private finishTasks(now: number): void {
    for (const t of this.tasks) {
      if (t.status !== 'running' || t.endsAt > now) continue;
      this.endTask(t, this.host.taskFails(t.piece, this.machine.id) ? 'error' : 'done');
    }
  }

  /** Empties the image cache, which heartbeats do not report. */
  clearImageCache(): void {
    this.cachedImages.clear();
    this.fetchedGb.clear();
  }

  /** Names of the images that tasks are waiting for. */
  imagesBeingFetched(): string[] {
    const names = this.tasks
      .filter((t) => t.status === 'pulling')
      .map((t) => this.host.imageOf(t.piece)?.name ?? '');
    return [...new Set(names)];
  }

  private advanceFetches(seconds: number): void {
    const pending = this.imagesBeingFetched();
    for (const name of this.fetchedGb.keys())
      if (!pending.includes(name)) this.fetchedGb.delete(name);
    for (const t of this.tasks) {
      const image = t.status === 'pulling' ? this.host.imageOf(t.piece) : null;
      if (!image || !pending.includes(image.name)) continue;
      pending.splice(pending.indexOf(image.name), 1);
      const bandwidthShare = image.shared ? 1 / this.imagesBeingFetched().length : 1;
      const receivedGb =
        (this.fetchedGb.get(image.name) ?? 0) + seconds * image.gbPerS * bandwidthShare;
      this.fetchedGb.set(image.name, receivedGb);
      if (receivedGb >= image.gb) this.cachedImages.add(image.name);
    }
    for (const t of this.tasks) if (t.status === 'pulling') this.runIfFetched(t);
  }

  private runIfFetched(t: WorkerTask): void {
    const image = this.host.imageOf(t.piece);
    if (image && !this.cachedImages.has(image.name)) return;
    t.status = 'running';
    t.endsAt = this.host.now() + (this.host.runTimeOf(t.piece) ?? 0);
    this.host.noteStart(t.piece, this.machine.id);
    this.scheduleHeartbeatSoon();
  }

  private endTask(t: WorkerTask, reason: string): void {
    t.status = 'exited';
    t.reason = reason;
    this.scheduleHeartbeatSoon();
    this.host.noteEnd(t.piece, this.machine.id, reason);
  }

  /** Reports a change within 500 ms, unless a heartbeat is in flight. */
  private scheduleHeartbeatSoon(): void {
    this.hasUnsentChange = true;
    this.nextHeartbeatAt = Math.min(this.nextHeartbeatAt, this.host.now() + 500);
  }

  /** Restarts the machine without downtime: its tasks are lost and its agent epoch advances. */
  reboot(): void {
    this.inFlight = null;
    this.startNewEpoch(this.host.now());
  }

  /** Ends running tasks, forgets all tasks, and advances the agent epoch. */
  private startNewEpoch(now: number): void {
    for (const t of this.tasks) {
      if (t.status === 'running') this.host.noteEnd(t.piece, this.machine.id, 'lease');
    }
    this.tasks = [];
    this.agentEpoch++;
    this.leaseRenewedAt = now;
    this.scheduleHeartbeatSoon();
  }

  private tryNextNode(): void {
    this.inFlight = null;
    this.switchToNode((this.nodeIndex + 1) % this.host.nodeNames.length);
    this.nextHeartbeatAt = this.host.now() + 1000;
  }

  private switchToNode(node: number): void {
    this.host.closeConnection(this, this.host.nodeNames[this.nodeIndex]!);
    this.nodeIndex = node;
  }

  private sendHeartbeat(now: number): void {
    this.hasUnsentChange = false;
    this.nextHeartbeatAt = now + this.host.heartbeatInterval;
    const id = ++this.lastHeartbeatId;
    this.inFlight = { sentAt: now, agentEpoch: this.agentEpoch, id };
    const node = this.host.nodeNames[this.nodeIndex]!;
    this.host.sendHeartbeat(this, node, this.heartbeatBody(), (r) => {
      if (this.inFlight?.id === id && !this.isTerminated && !this.isHung) this.handleResponse(r);
    });
  }

  private heartbeatBody(): unknown {
    const m = this.machine;
    return {
      host: m.id,
      addr: this.host.commandAddress(m.id),
      flavour: m.type,
      hall: m.zone,
      spare: m.spot,
      shift: this.agentEpoch,
      tally: ++this.sequenceNumber,
      fence: this.fencingToken,
      warning_s: this.reclaimWarningSeconds,
      batch: this.tasks.map(({ piece, try_no, status, reason }) => ({
        piece,
        try_no,
        status,
        reason,
      })),
    };
  }

  /** Follows a 421 to the node that it names; tries the next node after any other failure. */
  private handleResponse(r: CallResult): void {
    const heartbeat = this.inFlight!;
    this.inFlight = null;
    const body = r.kind === 'answer' ? (r.body as WireHeartbeatResponse) : {};
    if (r.kind === 'answer' && r.status === 200) return this.applyResponse(heartbeat, body);
    const redirect = r.kind === 'answer' && r.status === 421 ? body.upstream : undefined;
    const target = redirect === undefined ? -1 : this.host.nodeNames.indexOf(redirect);
    if (target < 0 || target === this.nodeIndex) return this.tryNextNode();
    this.switchToNode(target);
    this.nextHeartbeatAt = this.host.now();
  }

  /** Ignores a response with an outdated fencing token or to a heartbeat of an earlier epoch. */
  private applyResponse(
    heartbeat: { sentAt: number; agentEpoch: number },
    body: WireHeartbeatResponse,
  ): void {
    const fence = body.fence ?? -1;
    if (fence < this.fencingToken || heartbeat.agentEpoch !== this.agentEpoch) return;
    if (fence > this.fencingToken) this.scheduleHeartbeatSoon();
    this.fencingToken = fence;
    this.leaseRenewedAt = heartbeat.sentAt;
    for (const order of body.orders ?? []) this.execute(order);
    if (this.hasUnsentChange) this.scheduleHeartbeatSoon();
  }

  private execute(order: WireCommand): void {
    const known = this.tasks.find((t) => t.piece === order.piece && t.try_no === order.try_no);
    if (order.verb === 'forget') {
      if (known?.status === 'exited') this.tasks = this.tasks.filter((t) => t !== known);
    } else if (order.verb === 'kill') {
      if (known && known.status !== 'exited') this.endTask(known, 'stopped');
    } else if (!known) this.startTask(order);
  }

  private startTask(order: WireCommand): void {
    const task: WorkerTask = {
      piece: order.piece,
      try_no: order.try_no,
      status: 'pulling',
      endsAt: 0,
    };
    this.tasks.push(task);
    const hasOtherAttempt = this.tasks.some(
      (t) => t !== task && t.piece === order.piece && t.status !== 'exited',
    );
    if (this.host.runTimeOf(order.piece) === null) return this.rejectTask(task, 'no_such');
    if (hasOtherAttempt) return this.rejectTask(task, 'in_use');
    this.scheduleHeartbeatSoon();
    this.runIfFetched(task);
  }

  private rejectTask(task: WorkerTask, reason: string): void {
    task.status = 'exited';
    task.reason = reason;
    this.scheduleHeartbeatSoon();
  }
}
