import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ImageCache } from './image-cache.js';

const images = (cache: ImageCache) => [...cache.entries()].map(([image]) => image);

test('the least recently used images are evicted until all fit', () => {
  const cache = new ImageCache();
  cache.setCapacity(10);
  for (const image of ['a', 'b', 'c']) cache.recordUse(image, 3);
  cache.recordUse('a', 3);
  cache.recordUse('d', 4);
  assert.deepEqual(images(cache), ['c', 'a', 'd']);
});

test('an image in use stays, even if it alone is larger than the cache', () => {
  const cache = new ImageCache();
  cache.setCapacity(2);
  cache.recordUse('a', 1);
  cache.recordUse('b', 5);
  assert.deepEqual(images(cache), ['b']);
  assert.ok(cache.remove('b'));
  assert.ok(!cache.remove('b'));
});
