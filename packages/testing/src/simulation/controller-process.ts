/** One process incarnation of a controller in a simulated cluster. */
import { parseOperatorSettings, type Settings } from '@tealdock/wire';
import {
  Controller,
  Stats,
  type Command,
  type Effect,
  type HttpRequest,
  type Log,
  type Random,
  type Reply,
} from '@tealdock/controller';
import { CallRateLimiter, CommandQueue } from '@tealdock/adapters';
import { FakeSockets } from '../fakes/fake-sockets.js';
import type { SimulatedClock } from './simulated-clock.js';

/** What a process is started with. */
export interface ProcessOptions {
  settings: Settings;
  /** Text of the operators' settings file. */
  operatorSettings: string;
  /** Whether calls wait for their share of the state service's limits. */
  hasRateLimits: boolean;
  clock: SimulatedClock;
  random: Random;
  log: Log;
}

/** A controller with its queue and its sockets. Restarting a node makes a new one of these. */
export class ControllerProcess {
  /** A hung process takes no turn; what arrives waits. */
  isHung = false;
  readonly name: string;
  readonly sockets: FakeSockets;
  /** Null where the limits of the state service are not enforced. */
  readonly rateLimiter: CallRateLimiter | null;
  private readonly controller: Controller;
  private readonly clock: SimulatedClock;
  private readonly queue = new CommandQueue();
  private readonly pendingReplies = new Map<number, (reply: Reply) => void>();
  private lastRequestId = 0;

  constructor({ settings, operatorSettings, hasRateLimits, clock, random, log }: ProcessOptions) {
    this.name = settings.member;
    this.clock = clock;
    this.controller = new Controller({
      settings,
      operator: parseOperatorSettings(operatorSettings),
      random,
      log,
      stats: new Stats(),
    });
    this.sockets = new FakeSockets(settings, () => clock.now());
    this.rateLimiter = hasRateLimits
      ? new CallRateLimiter(settings, {
          now: () => clock.now(),
          schedule: (delay, run) => clock.after(delay, run),
        })
      : null;
  }

  push(command: Command): void {
    this.queue.push(command);
  }

  /** Processes what has arrived; returns what the controller wants done. */
  takeTurn(): Effect[] {
    if (this.isHung) return [];
    return this.controller.process(this.queue.nextBatch(), this.clock.now(), this.clock.date());
  }

  /** Numbers a request and keeps who waits for its reply; the caller pushes it. */
  register(request: Omit<HttpRequest, 'kind' | 'id'>, done: (reply: Reply) => void): HttpRequest {
    const id = ++this.lastRequestId;
    this.pendingReplies.set(id, done);
    return { kind: 'request', id, ...request };
  }

  /** Hands a reply to whoever waits for it; one that has expired becomes a 503. */
  respond(id: number, reply: Reply): void {
    const done = this.pendingReplies.get(id);
    this.pendingReplies.delete(id);
    const expired = reply.validUntil !== undefined && this.clock.now() >= reply.validUntil;
    done?.(expired ? { status: 503, body: {} } : reply);
  }
}
