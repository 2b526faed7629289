import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeerDecoder, packBroadcast, type LeaderBroadcast } from '@tealdock/wire';

const numbers = (count: number): number[] => Array.from({ length: count }, (_, i) => i);

/** What a peer receives of a message; throws `PeerProtocolError` if it would close the connection. */
function received(message: LeaderBroadcast): LeaderBroadcast {
  const [decoded, ...rest] = new PeerDecoder().push(packBroadcast(message));
  assert.equal(rest.length, 0);
  // Decoded records have classes of their own.
  return JSON.parse(JSON.stringify(decoded)) as LeaderBroadcast;
}

const hintsOf = (machineCount: number, imageCount: number): LeaderBroadcast => ({
  kind: 'hints',
  ratios: [{ jobClass: 'plain', ratio: 1.2 }],
  images: numbers(imageCount).map((i) => ({ image: `img-${i}`, gb: 1 })),
  machines: numbers(machineCount).map((i) => ({ id: `m-${i}`, held: numbers(imageCount) })),
  fetchSharing: 0.5,
});

// Guards against a leader whose hints grow until its peers close each connection on which they come.
test('hints of thousands of machines with many images reach the peers, as far as they fit', () => {
  const hints = received(hintsOf(4000, 100));
  assert.ok(hints.kind === 'hints' && hints.machines.length > 1000);
  assert.equal(hints.images.length, 100);
  assert.deepEqual(received(hintsOf(1000, 20)), hintsOf(1000, 20));
  const many = received(hintsOf(1, 100_000));
  assert.ok(many.kind === 'hints' && many.machines.length === 0 && many.fetchSharing === 0.5);
});

test('counts of jobs with long ids reach the peers, as far as they fit', () => {
  const jobs = numbers(4000).map((i) => ({
    id: `run-${String(i).padStart(60, '0')}`,
    done: 100_000,
    running: 100_000,
  }));
  const counts = received({ kind: 'counts', jobs });
  assert.ok(counts.kind === 'counts' && counts.jobs.length > 3000);
  assert.deepEqual(counts.jobs, jobs.slice(0, counts.jobs.length));
});
