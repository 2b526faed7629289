import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call, Reply } from '@tealdock/controller';
import type { PeerMessage } from '@tealdock/wire';
import { traceOf } from './trace-of.js';
import { WireTrace } from './wire-trace.js';

const SEED = 1;

/** Alters the first record of one kind, as a faulty version of the software would. */
class AlteredTrace extends WireTrace {
  private wasAltered = false;

  constructor(private readonly kind: 'reply' | 'call' | 'frame' | 'stored') {
    super();
  }

  override reply(at: number, node: string, request: number, reply: Reply): void {
    const status = this.shouldAlter('reply') ? reply.status + 1 : reply.status;
    super.reply(at, node, request, { ...reply, status });
  }

  override call(at: number, node: string, id: number, call: Call): void {
    const path = this.shouldAlter('call') ? `${call.path}x` : call.path;
    super.call(at, node, id, { ...call, path });
  }

  override frame(at: number, from: string, to: string, message: PeerMessage): void {
    const isAltered = message.kind === 'heartbeat' && this.shouldAlter('frame');
    super.frame(
      at,
      from,
      to,
      isAltered ? { ...message, stateAvailable: !message.stateAvailable } : message,
    );
  }

  override stored(at: number, entries: Iterable<[string, { v: unknown; stamp: number }]>): void {
    const altered = [...entries].map(([key, entry]): [string, typeof entry] => [
      key,
      this.shouldAlter('stored') ? { ...entry, v: [entry.v] } : entry,
    ]);
    super.stored(at, altered);
  }

  /** True for the first record of the kind to alter, false afterwards. */
  private shouldAlter(kind: string): boolean {
    if (this.wasAltered || kind !== this.kind) return false;
    this.wasAltered = true;
    return true;
  }
}

test('two runs of a seed have the same trace; another seed has a different one', () => {
  const first = traceOf(SEED);
  assert.equal(traceOf(SEED), first);
  assert.notEqual(traceOf(SEED + 1), first);
});

for (const kind of ['reply', 'call', 'frame', 'stored'] as const) {
  test(`one changed byte of a ${kind} changes the trace`, () => {
    assert.notEqual(traceOf(SEED, new AlteredTrace(kind)), traceOf(SEED));
  });
}
