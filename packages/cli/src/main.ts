console.log('egretvalve')
