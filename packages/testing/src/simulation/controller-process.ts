/** One incarnation of a controller process in a simulated cluster. */
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

/** Settings and environment of a process. */
export interface ProcessOptions {
  settings: Settings;
  /** Text of the operators' settings file. */
  operatorSettings: string;
  /** Whether calls are subject to the node's share of the rate limits. */
  hasRateLimits: boolean;
  clock: SimulatedClock;
  random: Random;
  log: Log;
}

/** A controller with its command queue and sockets; each restart of a node creates a new one. */
export class ControllerProcess {
  /** A hung process handles no commands; they stay in its queue. */
  isHung = false;
  readonly name: string;
  readonly sockets: FakeSockets;
  /** Null if rate limits are not enforced. */
  readonly rateLimiter: CallRateLimiter | null;
  private readonly controller: Controller;
  private readonly clock: SimulatedClock;
  private readonly queue = new CommandQueue();
  /** Callbacks for the replies, by request id. */
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

  /** Queues a command. */
  push(command: Command): void {
    this.queue.push(command);
  }

  /** Processes queued commands; returns the effects that the controller asks for. */
  processBatch(): Effect[] {
    if (this.isHung) return [];
    return this.controller.process(this.queue.nextBatch(), this.clock.now(), this.clock.date());
  }

  /** Assigns an id to a request and registers the callback for its reply; the caller pushes it. */
  registerRequest(
    request: Omit<HttpRequest, 'kind' | 'id'>,
    done: (reply: Reply) => void,
  ): HttpRequest {
    const id = ++this.lastRequestId;
    this.pendingReplies.set(id, done);
    return { kind: 'request', id, ...request };
  }

  /** Delivers a reply to its requester; one whose `validUntil` has passed becomes a 503. */
  respond(id: number, reply: Reply): void {
    const done = this.pendingReplies.get(id);
    this.pendingReplies.delete(id);
    const expired = reply.validUntil !== undefined && this.clock.now() >= reply.validUntil;
    done?.(expired ? { status: 503, body: {} } : reply);
  }
}
