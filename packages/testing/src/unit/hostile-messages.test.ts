import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { join } from 'node:path';
import { test } from 'node:test';
import { packBody, parseCancellations, parseHeartbeat, unpackBody } from '@tealdock/wire';
import {
  HOSTILE_BODIES,
  HOSTILE_FRAMES,
  INVALID_LISTS,
  type HostileMessage,
} from './hostile-messages.js';
import { deployedCommand } from '../soak/controller-process.js';
import { HOSTILE_PIECES } from './hostile-pieces.js';

/** The heap of a controller in MB, from the deploy file. */
const HEAP_MB = Number(/--max-old-space-size=(\d+)/.exec(deployedCommand()[1].join(' '))?.[1]);
/** A whole process with one message must live in this share of it, beside a controller's state. */
const HEAP_SHARE = 1 / 4;
/**
 * A health probe fails after 1 s, and a controller has 0.34 of a core (the platform's settings), so
 * this much processor time for one message fails no probe.
 */
const MAX_PROCESSOR_MS = 340;

const CHILD = join(import.meta.dirname, 'hostile-message-child.js');

function assertBounded(name: string, { refusedWith, readCount = 1 }: HostileMessage): void {
  const heap = `--max-old-space-size=${Math.floor(HEAP_MB * HEAP_SHARE)}`;
  const child = spawnSync(process.execPath, [heap, '--max-semi-space-size=1', CHILD, name]);
  assert.equal(
    child.status,
    0,
    `ended by ${child.signal}: ${child.stderr.toString().slice(0, 300)}`,
  );
  const outcome = JSON.parse(child.stdout.toString()) as {
    refusedWith: string | null;
    processorMs: number;
  };
  assert.equal(outcome.refusedWith, refusedWith);
  const limitMs = MAX_PROCESSOR_MS * readCount;
  assert.ok(outcome.processorMs <= limitMs, `${outcome.processorMs} ms of ${limitMs}`);
}

// A controller that got 4 KiB of a text in another encoding ended: out of memory.
for (const [name, message] of Object.entries(HOSTILE_BODIES)) {
  test(`memory and time are bounded for a body of ${name}`, () => assertBounded(name, message));
}

// A frame of six bytes that announced two billion jobs ended the controller that read it.
for (const [name, message] of Object.entries(HOSTILE_FRAMES)) {
  test(`memory and time are bounded for a peer's frame of ${name}`, () =>
    assertBounded(name, message));
}

// A heartbeat with 65,000 empty tasks ended a controller, which described what each of them lacks.
for (const [name, message] of Object.entries(INVALID_LISTS)) {
  test(`memory and time are bounded for a list of ${name}`, () => assertBounded(name, message));
}

// Eight requests whose bodies came in chunks of one byte ended a controller that kept each chunk.
for (const [name, message] of Object.entries(HOSTILE_PIECES)) {
  test(`memory and time are bounded for ${name} in small pieces`, () =>
    assertBounded(name, message));
}

test('the first invalid element of a list is named', () => {
  const task = { piece: 'run-1/0', try_no: 1, status: 'running' };
  const batch = [task, { ...task, status: 'lost' }, { ...task, try_no: -1 }];
  const body = { host: 'm', addr: 'a', flavour: 'g', hall: 'a', spare: true };
  const heartbeat = { ...body, shift: 1, tally: 1, fence: 0, batch };
  assert.throws(() => parseHeartbeat(heartbeat), { message: /^batch\.1\.status: Invalid option/ });
  assert.throws(() => parseHeartbeat({ ...heartbeat, batch: 3 }), { message: /^batch: .*array/ });
  const jobs = Array<string>(1001).fill('run-1');
  assert.throws(() => parseCancellations({ jobs }), { message: /^jobs: Too big/ });
});

// A registry with this machine could be written, but no leader could read it again.
test('a machine whose id can be no key of a stored map is refused', () => {
  const heartbeat = { host: '__proto__', addr: 'a', flavour: 'g', hall: 'a', spare: true };
  const counts = { shift: 1, tally: 1, fence: 0, batch: [] };
  assert.throws(() => parseHeartbeat({ ...heartbeat, ...counts }), { message: /^host: / });
  assert.equal(parseHeartbeat({ ...heartbeat, ...counts, host: 'm-1' }).machine, 'm-1');
  const entries = Object.fromEntries([['__proto__', 1]]);
  assert.throws(() => unpackBody(packBody({ entries })), { name: 'WireError' });
});

test('the bound lets every form of value through', () => {
  const values = [
    [0, 127, 128, 65_535, 65_536, 2 ** 32, 2 ** 53 - 1, -1, -32, -33, -129, -40_000, -(2 ** 40)],
    [0.5, -0.25, true, false, null, '', 'a', 'ü'.repeat(20), 'b'.repeat(40), 'c'.repeat(300)],
    ['d'.repeat(70_000), new Date(0), new Date(2 ** 35)],
    [[], {}, Array(15).fill(1), Array(16).fill([]), Array(70_000).fill(0)],
    { 0: 'index', long_key_that_is_cached_nowhere_at_all: { nested: { deeper: [[[{}]]] } } },
    Object.fromEntries(Array.from({ length: 20 }, (_, i) => [`key-${i}`, i])),
    Object.fromEntries(Array.from({ length: 40_000 }, (_, i) => [`k-${i}`, i])),
  ];
  for (const value of values) assert.deepEqual(unpackBody(packBody(value)), value);
  for (const byteCount of [3, 300, 70_000]) {
    const binary = Buffer.alloc(byteCount, 1);
    assert.deepEqual(Buffer.from(unpackBody(packBody(binary)) as Uint8Array), binary);
  }
});

test('a body that ends too soon, goes on too long or begins with no value is refused', () => {
  const bytes = packBody({ list: [1, 'text', { key: 2.5 }], other: 'x'.repeat(300) });
  for (let end = 0; end < bytes.length; end++) {
    assert.throws(() => unpackBody(bytes.subarray(0, end)), { name: 'WireError' });
  }
  const tooLong = Buffer.concat([bytes, Buffer.from([0])]);
  assert.throws(() => unpackBody(tooLong), { name: 'WireError' });
  assert.throws(() => unpackBody(Buffer.from([0xc1])), { name: 'WireError' });
});
