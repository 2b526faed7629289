import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FetchSharing } from './fetch-sharing.js';
import { ImageFetches } from './image-fetches.js';

const AWAITED = new Map([
  ['a', 10],
  ['b', 4],
]);

/** Fetches of 10 GB and 4 GB that started at 0, at 1 GB/s. */
function twoFetches(): ImageFetches {
  const fetches = new ImageFetches();
  fetches.setRate(1);
  fetches.start('a', 10, 0);
  fetches.start('b', 4, 0);
  return fetches;
}

const delayOfB = (fetches: ImageFetches, isRateShared: boolean, now: number) =>
  fetches.delayOf({ image: 'b', sizeGb: 4, awaited: AWAITED, isRateShared, now });

test('with a shared rate an image waits for the fetches that started before it', () => {
  assert.equal(delayOfB(twoFetches(), true, 3000), 11_000);
  assert.equal(delayOfB(twoFetches(), false, 3000), 1000);
});

test('a fetch that no task waits for is aborted', () => {
  const fetches = twoFetches();
  fetches.retain(new Map([['b', 4]]), 3000);
  assert.equal(fetches.complete('a', 3000), undefined);
  assert.equal(delayOfB(fetches, true, 5000), 2000);
});

test('concurrent fetches that each take the full rate show that it is not shared', () => {
  const sharing = new FetchSharing();
  assert.ok(sharing.isShared);
  for (let i = 0; i < 10; i++) {
    const fetches = twoFetches();
    const ended = fetches.complete('b', 4000);
    assert.ok(ended);
    sharing.record(ended);
  }
  assert.ok(!sharing.isShared);
});

test('a fetch that was never concurrent does not change the probability', () => {
  const sharing = new FetchSharing();
  sharing.record({ sizeGb: 4, sharedRateGb: 4, fullRateGb: 4 });
  assert.equal(sharing.sharingProbability, 1);
});
