/** The state owner's calls to other processes. */
import { MAX_BODY_BYTES, isWatchPath, type Settings } from '@tealdock/wire';
import {
  CLOUD_SOCKET_COUNT,
  STATE_SOCKET_COUNT,
  WORKER_SOCKET_COUNT,
  type Call,
  type CallResult,
  type Log,
  type Stats,
} from '@tealdock/controller';
import { CallRateLimiter } from './call-rate-limiter.js';
import { HttpClient, splitAddress } from './http-client.js';
import type { PeerLink } from './peer-link.js';

/** The lowest status of a server error. */
const MIN_SERVER_ERROR_STATUS = 500;
const TOO_MANY_REQUESTS_STATUS = 429;
/** Limit of an answer to a watch, which holds all changes; beyond it the keys are read by pages. */
const MAX_CHANGES_BYTES = 4 * 1024 * 1024;
/** Limit of other answers of the state service, whose pages have 512 KiB, and of the cloud. */
const MAX_PAGE_BYTES = 1024 * 1024;

/** Dependencies of `OutgoingCalls`. */
export interface OutgoingCallsDependencies {
  settings: Settings;
  peers: PeerLink;
  log: Log;
  stats: Stats;
}

/** Sends calls within the rate limits; each has exactly one result. */
export class OutgoingCalls {
  private readonly stateHttp = new HttpClient(STATE_SOCKET_COUNT);
  private readonly cloudHttp = new HttpClient(CLOUD_SOCKET_COUNT);
  private readonly workerHttp = new HttpClient(WORKER_SOCKET_COUNT, false);
  private readonly limiter: CallRateLimiter;

  constructor(private readonly dependencies: OutgoingCallsDependencies) {
    this.limiter = new CallRateLimiter(dependencies.settings, {
      now: () => performance.now(),
      schedule: (delay, run) => void setTimeout(run, delay),
    });
  }

  /** Sets the fraction of the state service's writes per second that this node may use. */
  setWriteFraction(fraction: number): void {
    this.limiter.setWriteFraction(fraction);
  }

  /**
   * Sends a call once the rate limits allow it; `onResult` is called exactly once. It is a callback
   * since the result goes back to the state owner's queue.
   */
  send(call: Call, onResult: (result: CallResult) => void): void {
    const drop = () => {
      this.dependencies.stats.count(`calls.${call.target}.dropped`);
      onResult({ kind: 'unsent' });
    };
    const submittedAt = performance.now();
    const send = () => {
      if (call.target === 'state')
        this.dependencies.stats.record('calls.state.waited_ms', performance.now() - submittedAt);
      this.sendNow(call, onResult);
    };
    this.limiter.submit(call, send, drop);
  }

  private sendNow(call: Call, onResult: (result: CallResult) => void): void {
    const { stateAddress, cloudAddress } = this.dependencies.settings;
    switch (call.target) {
      case 'peer':
        return this.dependencies.peers.request(call, onResult);
      case 'worker':
        return this.sendHttp(this.workerHttp, call.to, call, onResult);
      case 'cloud':
        return this.sendHttp(this.cloudHttp, cloudAddress, call, onResult);
      case 'state':
        return this.sendHttp(this.stateHttp, stateAddress, call, onResult);
    }
  }

  private sendHttp(
    client: HttpClient,
    address: string,
    call: Call,
    onResult: (result: CallResult) => void,
  ): void {
    const { method, path, body, timeout } = call;
    const maxAnswerBytes = maxAnswerBytesOf(call);
    const httpCall = { ...splitAddress(address), method, path, body, timeout, maxAnswerBytes };
    client.send(httpCall, (result) => {
      this.recordOutcome(call, result);
      onResult(result);
    });
  }

  private recordOutcome(call: Call, result: CallResult): void {
    const outcome = result.kind === 'answer' ? result.status : result.kind;
    this.dependencies.stats.count(`calls.${call.target}.${outcome}`);
    if (!isFailure(result)) return;
    const { target, method, path } = call;
    this.dependencies.log('debug', { target, method, path, status: outcome }, 'call failed');
  }
}

function maxAnswerBytesOf({ target, path }: Call): number {
  if (target === 'worker') return MAX_BODY_BYTES;
  return target === 'state' && isWatchPath(path) ? MAX_CHANGES_BYTES : MAX_PAGE_BYTES;
}

function isFailure(result: CallResult): boolean {
  if (result.kind !== 'answer') return true;
  return result.status >= MIN_SERVER_ERROR_STATUS || result.status === TOO_MANY_REQUESTS_STATUS;
}
