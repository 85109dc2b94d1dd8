// Replaces moleculer in the platform bundle: the broker without transporters, discoverers, tracers and the runner, which are not
// used and would add to the start-up time.
'use strict'
module.exports = {
  ServiceBroker: require('../node_modules/moleculer/src/service-broker'),
  Errors: require('../node_modules/moleculer/src/errors'),
  Utils: require('../node_modules/moleculer/src/utils')
}
