/** Formats of all interfaces. */
export * from './domain.js';
export * from './body.js';
export * from './jobs.js';
export * from './workers.js';
export * from './cloud.js';
export * from './state.js';
export * from './peers.js';
export * from './settings.js';
export * from './cancellations.js';
