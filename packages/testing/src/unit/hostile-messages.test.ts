import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { join } from 'node:path';
import { test } from 'node:test';
import { packBody, parseCancellations, parseHeartbeat, unpackBody } from '@tealdock/wire';
import { deployedCommand } from '../soak/controller-process.js';
import { HOSTILE_MESSAGES } from './hostile-messages.js';

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

const HEAP_OPTION = `--max-old-space-size=${Math.floor(HEAP_MB * HEAP_SHARE)}`;

/** Decodes a message in a process of its own; fails if that takes too much memory. */
function decodeInChild(group: string, name: string): { refusedWith: string; processorMs: number } {
  const args = [HEAP_OPTION, '--max-semi-space-size=1', CHILD, group, name];
  const child = spawnSync(process.execPath, args, { encoding: 'utf8' });
  assert.equal(child.status, 0, `ended by ${child.signal}: ${child.stderr.slice(0, 300)}`);
  return JSON.parse(child.stdout) as ReturnType<typeof decodeInChild>;
}

for (const [group, messages] of Object.entries(HOSTILE_MESSAGES)) {
  for (const [name, { refusedWith, readCount = 1 }] of Object.entries(messages)) {
    test(`memory and time are bounded for ${group} ${name}`, () => {
      const outcome = decodeInChild(group, name);
      assert.equal(outcome.refusedWith, refusedWith);
      const limitMs = MAX_PROCESSOR_MS * readCount;
      assert.ok(outcome.processorMs <= limitMs, `${outcome.processorMs} ms of ${limitMs}`);
    });
  }
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
