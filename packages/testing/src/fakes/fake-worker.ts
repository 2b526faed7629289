/** A worker in memory. */
import type { CallResult } from '@tealdock/controller';
import type { CloudMachine } from './fake-cloud.js';
import type {
  WireCommand,
  WireCommands,
  WireHeartbeatResponse,
  WorkerHost,
  WorkerTask,
} from './worker-protocol.js';

/** A worker gives a response up after this time, and turns to the next node. */
const RESPONSE_TIMEOUT_MS = 4000;

/**
 * A worker as the protocol describes it: one heartbeat in flight, fencing tokens, agent epochs and
 * its lease.
 */
export class FakeWorker {
  tasks: WorkerTask[] = [];
  agentEpoch = 1;
  sequenceNumber = 0;
  fencingToken = 0;
  reclaimWarningSeconds: number | null = null;
  isGone = false;
  /** Nothing runs and nothing is heard; commands wait, as a machine's sockets hold them. */
  isHung = false;
  private readonly pendingCommands: (() => void)[] = [];
  private nodeIndex = 0;
  private nextHeartbeatAt = 0;
  private leaseRenewedAt: number;
  private inFlight: { sentAt: number; agentEpoch: number; id: number } | null = null;
  private lastHeartbeatId = 0;
  private hasUnsentChange = false;
  private readonly cachedImages = new Set<string>();
  /** GB that have come of images that tasks wait for. */
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
    if (this.isGone) return;
    const now = this.host.now();
    // A hanging machine may go on within its lease only, so its end counts at once.
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

  private postponeEnds(elapsed: number): void {
    for (const t of this.tasks) if (t.status === 'running') t.endsAt += elapsed;
  }

  /** `POST /commands`; a machine that hangs carries it out when it goes on. */
  receiveCommands(body: WireCommands, done: (r: CallResult) => void): void {
    this.pendingCommands.push(() => done(this.executeCommands(body)));
  }

  private executeCommands({ fence, shift, orders }: WireCommands): CallResult {
    if (fence === undefined || shift === undefined) return this.stateResponse(400);
    if (fence < this.fencingToken || shift !== this.agentEpoch) return this.stateResponse(409);
    this.fencingToken = fence;
    for (const order of orders ?? []) this.execute(order);
    if (this.hasUnsentChange) this.scheduleHeartbeatSoon();
    return this.stateResponse(200);
  }

  private stateResponse(status: number): CallResult {
    return { kind: 'answer', status, body: this.heartbeatBody() };
  }

  private finishTasks(now: number): void {
    for (const t of this.tasks) {
      if (t.status !== 'running' || t.endsAt > now) continue;
      this.exit(t, this.host.taskFails(t.piece, this.machine.id) ? 'error' : 'done');
    }
  }

  /** Its cache is emptied, which no heartbeat says. */
  dropImages(): void {
    this.cachedImages.clear();
    this.fetchedGb.clear();
  }

  /** Images that tasks wait for at present. */
  imagesBeingFetched(): string[] {
    const names = this.tasks
      .filter((t) => t.status === 'pulling')
      .map((t) => this.host.imageOf(t.piece)?.name ?? '');
    return [...new Set(names)];
  }

  private advanceFetches(seconds: number): void {
    const wanted = this.imagesBeingFetched();
    for (const name of this.fetchedGb.keys())
      if (!wanted.includes(name)) this.fetchedGb.delete(name);
    for (const t of this.tasks) {
      const image = t.status === 'pulling' ? this.host.imageOf(t.piece) : null;
      if (!image || !wanted.includes(image.name)) continue;
      wanted.splice(wanted.indexOf(image.name), 1);
      const part = image.shared ? 1 / this.imagesBeingFetched().length : 1;
      const came = (this.fetchedGb.get(image.name) ?? 0) + seconds * image.gbPerS * part;
      this.fetchedGb.set(image.name, came);
      if (came >= image.gb) this.cachedImages.add(image.name);
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

  private exit(t: WorkerTask, reason: string): void {
    t.status = 'exited';
    t.reason = reason;
    this.scheduleHeartbeatSoon();
    this.host.noteEnd(t.piece, this.machine.id, reason);
  }

  private scheduleHeartbeatSoon(): void {
    this.hasUnsentChange = true;
    this.nextHeartbeatAt = Math.min(this.nextHeartbeatAt, this.host.now() + 500);
  }

  /** The machine goes down and is back at once: its tasks are gone, its agent epoch advances. */
  reboot(): void {
    this.inFlight = null;
    this.startNewEpoch(this.host.now());
  }

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
      if (this.inFlight?.id === id && !this.isGone && !this.isHung) this.handleResponse(r);
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

  private handleResponse(r: CallResult): void {
    const flight = this.inFlight!;
    this.inFlight = null;
    const body = r.kind === 'answer' ? (r.body as WireHeartbeatResponse) : {};
    if (r.kind === 'answer' && r.status === 200) return this.applyResponse(flight, body);
    const named = r.kind === 'answer' && r.status === 421 ? body.upstream : undefined;
    const at = named === undefined ? -1 : this.host.nodeNames.indexOf(named);
    if (at < 0 || at === this.nodeIndex) return this.tryNextNode();
    this.switchToNode(at);
    this.nextHeartbeatAt = this.host.now();
  }

  private applyResponse(
    flight: { sentAt: number; agentEpoch: number },
    body: WireHeartbeatResponse,
  ): void {
    const fence = body.fence ?? -1;
    if (fence < this.fencingToken || flight.agentEpoch !== this.agentEpoch) return;
    if (fence > this.fencingToken) this.scheduleHeartbeatSoon();
    this.fencingToken = fence;
    this.leaseRenewedAt = flight.sentAt;
    for (const order of body.orders ?? []) this.execute(order);
    if (this.hasUnsentChange) this.scheduleHeartbeatSoon();
  }

  private execute(order: WireCommand): void {
    const known = this.tasks.find((t) => t.piece === order.piece && t.try_no === order.try_no);
    if (order.verb === 'forget') {
      if (known?.status === 'exited') this.tasks = this.tasks.filter((t) => t !== known);
    } else if (order.verb === 'kill') {
      if (known && known.status !== 'exited') this.exit(known, 'stopped');
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
    const busy = this.tasks.some(
      (t) => t !== task && t.piece === order.piece && t.status !== 'exited',
    );
    if (this.host.runTimeOf(order.piece) === null) return this.refuse(task, 'no_such');
    if (busy) return this.refuse(task, 'in_use');
    this.scheduleHeartbeatSoon();
    this.runIfFetched(task);
  }

  private refuse(task: WorkerTask, reason: string): void {
    task.status = 'exited';
    task.reason = reason;
    this.scheduleHeartbeatSoon();
  }
}
