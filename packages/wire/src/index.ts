/** Message formats of all interfaces, and the settings files. */
export * from './domain.js';
export * from './errors.js';
export * from './body.js';
export * from './byte-accumulator.js';
export * from './jobs.js';
export * from './workers.js';
export * from './heartbeat-size.js';
export * from './cloud.js';
export * from './state.js';
export * from './peers.js';
export * from './platform-settings.js';
export * from './operator-settings.js';
export * from './cancellations.js';
