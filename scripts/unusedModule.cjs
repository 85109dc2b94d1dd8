// Replaces modules in the platform bundle that libraries load at the start but call only for features that are not used here: static
// files in moleculer-web, 64-bit integers in a loader of `.proto` files, which compiles a WebAssembly module for them.
'use strict'
module.exports = {}
