/** Calls of the state owner to everything outside its process. */
import type { Settings } from '@tealdock/wire';
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

/** The lowest status of a failure on the server's side. */
const MIN_SERVER_ERROR_STATUS = 500;
const TOO_MANY_REQUESTS_STATUS = 429;

/** What the calls are sent with. */
export interface OutgoingCallsParts {
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

  constructor(private readonly parts: OutgoingCallsParts) {
    this.limiter = new CallRateLimiter(parts.settings, {
      now: () => performance.now(),
      schedule: (delay, run) => void setTimeout(run, delay),
    });
  }

  /** Which fraction of the state service's changes per second this node may use from now on. */
  setWriteFraction(fraction: number): void {
    this.limiter.setWriteFraction(fraction);
  }

  /** Sends a call; a callback, since the result goes back to the state owner's queue. */
  send(call: Call, onResult: (result: CallResult) => void): void {
    const drop = () => {
      this.parts.stats.count(`calls.${call.target}.dropped`);
      onResult({ kind: 'unsent' });
    };
    const submittedAt = performance.now();
    const send = () => {
      if (call.target === 'state')
        this.parts.stats.record('calls.state.waited_ms', performance.now() - submittedAt);
      this.sendNow(call, onResult);
    };
    this.limiter.submit(call, send, drop);
  }

  private sendNow(call: Call, onResult: (result: CallResult) => void): void {
    const { stateAddress, cloudAddress } = this.parts.settings;
    switch (call.target) {
      case 'peer':
        return this.parts.peers.request(call, onResult);
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
    client.send({ ...splitAddress(address), method, path, body, timeout }, (result) => {
      this.recordOutcome(call, result);
      onResult(result);
    });
  }

  private recordOutcome(call: Call, result: CallResult): void {
    const outcome = result.kind === 'answer' ? result.status : result.kind;
    this.parts.stats.count(`calls.${call.target}.${outcome}`);
    if (!isFailure(result)) return;
    const { target, method, path } = call;
    this.parts.log('debug', { target, method, path, status: outcome }, 'call failed');
  }
}

function isFailure(result: CallResult): boolean {
  if (result.kind !== 'answer') return true;
  return result.status >= MIN_SERVER_ERROR_STATUS || result.status === TOO_MANY_REQUESTS_STATUS;
}
